/// \file
/// Defines claims, the durable records that make a non-repeatable request run
/// at most once.
#ifndef BANYANWORKS_REQUESTS_CLAIM_H
#define BANYANWORKS_REQUESTS_CLAIM_H

#include "base/Ids.h"
#include "base/Reason.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks {

/// A hash of the request body; tells apart different requests under one key.
using BodyDigest = Number<struct BodyDigestTag>;

/// Identifies one claim or log write by daemon, process incarnation and serial
/// number. Identities are unique, so a write whose response was lost can be
/// recognized by reading the log.
struct ClaimIdentity {
  DaemonId Daemon;
  Incarnation DaemonIncarnation;
  std::uint64_t Serial = 0;

  auto operator<=>(const ClaimIdentity &) const = default; // NOLINT
};

/// A request for the exclusive right to run the request of an idempotency key.
struct Claim {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  BodyDigest Body;
  ClaimIdentity Identity;

  bool operator==(const Claim &) const = default;
};

/// The state of a claimed request.
enum class ClaimState : std::uint8_t {
  /// The outcome is not known yet.
  Open,
  /// A complete answer arrived.
  Answered,
  /// The request may have run, but no complete answer arrived.
  Unknown,
  /// The request provably did not run; the key is free again.
  Released,
};

/// The outcome of one claim, recorded for retries under the same key.
struct ClaimOutcome {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  ClaimIdentity Identity;
  ClaimState State = ClaimState::Open;
  /// The HTTP status of the endpoint; set for Answered only.
  int Status = 0;

  bool operator==(const ClaimOutcome &) const = default;
};

/// The result of requesting a claim.
enum class ClaimResult : std::uint8_t {
  /// The claim is recorded; the request may be sent.
  Granted,
  /// An earlier claim holds the key; see Holder, HolderState and Status.
  HeldByEarlierClaim,
  /// An earlier claim with a different body holds the key.
  KeyReused,
  /// The store did not answer. No request may be sent under this identity.
  /// Holder is this identity if the claim may be recorded nevertheless.
  Unavailable,
};

/// The decision of the home daemon on one claim.
struct ClaimDecision {
  ClaimIdentity Identity;
  ClaimResult Result = ClaimResult::Unavailable;
  ClaimIdentity Holder;
  ClaimState HolderState = ClaimState::Open;
  int Status = 0;

  bool operator==(const ClaimDecision &) const = default;
};

/// One immutable store record of a service's claim log. Record N is created
/// only if it is absent, which gives the log a total order.
struct ClaimBatch {
  std::uint64_t Number = 0;
  /// Identifies the write, so that a writer recognizes its own batch when it
  /// reads the log.
  ClaimIdentity Writer;
  std::vector<Claim> Claims;
  std::vector<ClaimOutcome> Outcomes;

  bool operator==(const ClaimBatch &) const = default;
};

} // namespace banyanworks

#endif
