/// \file
/// Defines claims: the durable records by which a request that is not
/// repeatable runs at most once.
#ifndef BANYANWORKS_REQUESTS_CLAIM_H
#define BANYANWORKS_REQUESTS_CLAIM_H

#include "base/Ids.h"
#include "base/Reason.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks {

/// A digest of a request's body.
using BodyDigest = Number<struct BodyDigestTag>;

/// Who claimed: a daemon, which of its processes, and its counter. No two
/// claims share an identity, so that a lost store answer can be resolved by
/// reading back.
struct ClaimIdentity {
  DaemonId Daemon;
  Incarnation DaemonIncarnation;
  std::uint64_t Serial = 0;

  auto operator<=>(const ClaimIdentity &) const = default; // NOLINT
};

/// The wish to be the only one to run the request of a key.
struct Claim {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  BodyDigest Body;
  ClaimIdentity Identity;

  bool operator==(const Claim &) const = default;
};

/// How a claimed request ended.
enum class ClaimState : std::uint8_t {
  /// No outcome is known yet.
  Open,
  /// A whole answer arrived.
  Answered,
  /// The request may have run and no whole answer arrived.
  Unknown,
  /// Certainly not run; the key is free again.
  Released,
};

/// The end of one claim, kept for retries under the same key.
struct ClaimOutcome {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  ClaimIdentity Identity;
  ClaimState State = ClaimState::Open;
  /// The endpoint's status, for Answered.
  int Status = 0;

  bool operator==(const ClaimOutcome &) const = default;
};

/// What a claim came to.
enum class ClaimResult : std::uint8_t {
  /// The claim is recorded: the request may be sent.
  Granted,
  /// An earlier claim holds the key; see Holder, End and Status.
  Held,
  /// An earlier claim holds the key with another body.
  KeyReused,
  /// The store did not answer; nothing may be sent under this identity. The
  /// holder is this identity if the claim may be recorded all the same.
  Unavailable,
};

/// The home's answer to one claim.
struct ClaimDecision {
  ClaimIdentity Identity;
  ClaimResult Result = ClaimResult::Unavailable;
  ClaimIdentity Holder;
  ClaimState HolderState = ClaimState::Open;
  int Status = 0;

  bool operator==(const ClaimDecision &) const = default;
};

/// One immutable store record of a service's claim log. The record of number
/// N is created only if absent, so that the log has one order.
struct ClaimBatch {
  std::uint64_t Number = 0;
  /// The writer and its counter; tells 'mine' from 'theirs' on reading back.
  ClaimIdentity Writer;
  std::vector<Claim> Claims;
  std::vector<ClaimOutcome> Outcomes;

  bool operator==(const ClaimBatch &) const = default;
};

} // namespace banyanworks

#endif
