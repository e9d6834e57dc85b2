/// \file
/// Defines the events that the router of one service takes and the actions
/// that it returns. Bodies stay with the daemon, by RequestId and AttemptId.
#ifndef BANYANWORKS_REQUESTS_REQUESTEVENTS_H
#define BANYANWORKS_REQUESTS_REQUESTEVENTS_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "model/CommonEvents.h"
#include "requests/Claim.h"
#include "requests/PeerMessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanworks {

/// A caller's whole request is here.
struct RequestArrived {
  RequestId Request;
  WorkspaceId Workspace;
  ServiceId Service;
  MethodId Method;
  /// Empty if the caller gave none.
  IdempotencyKey Key;
  BodyDigest Digest;
  std::uint64_t BodyBytes = 0;
  TimePoint Deadline;
  /// The caller's address, for logs.
  std::string Origin;
};

/// The caller closed its connection before the answer.
struct CallerDisconnected {
  RequestId Request;
};

/// How far an attempt got; each says what is proven about running.
enum class AttemptEnd : std::uint8_t {
  /// No byte of the request left this daemon.
  NotSent,
  /// The endpoint said that it did not run it, as when it is full.
  RefusedBusy,
  /// The endpoint said that it did not run it, since it is draining.
  RefusedDraining,
  /// Bytes were sent and no whole answer came: it may have run.
  SentNoAnswer,
  /// The answer ended before it was whole: it ran, the answer is lost.
  Truncated,
  /// The whole answer of this very attempt is here.
  Answered,
};

/// An attempt is over. Ends of unknown attempts are dropped.
struct AttemptEnded {
  AttemptId Attempt;
  AttemptEnd Result = AttemptEnd::NotSent;
  /// The endpoint's status, for Answered.
  int Status = 0;
};

/// What an endpoint or the platform's list said about an endpoint.
struct EndpointStatus {
  EndpointId Endpoint;
  bool Draining = false;
  /// Slots, where the endpoint told them.
  std::optional<std::uint32_t> Slots;
};

/// Another daemon of the deployment.
struct PeerInfo {
  DaemonId Daemon;
  DomainId Domain;

  bool operator==(const PeerInfo &) const = default;
};

/// The daemons of the deployment, without this one.
struct PeersChanged {
  std::vector<PeerInfo> Peers;
};

/// A message of another daemon's router of the same service.
struct PeerMessageReceived {
  PeerMessage Message;
};

/// How the store answered a conditional write of the claim log.
enum class ClaimWrite : std::uint8_t {
  Done,
  /// The condition did not hold; the write may still be the writer's own
  /// earlier one.
  Conflict,
  /// No answer; the write may have taken effect.
  Unknown,
  /// The store refused: nothing was written.
  Unavailable,
};

/// The answer to RecordClaims.
struct ClaimAnswered {
  std::uint64_t Number = 0;
  ClaimIdentity Writer;
  ClaimWrite Result = ClaimWrite::Unknown;
};

/// The answer to OpenClaimLog.
struct ClaimLogOpened {
  ClaimIdentity Writer;
  ClaimWrite Result = ClaimWrite::Unknown;
};

/// The answer to LoadClaims.
struct ClaimsLoaded {
  /// As in LoadClaims.
  std::uint64_t From = 0;
  /// False if the store did not answer.
  bool Complete = false;
  /// The head record, read before the batches; version 0 if there is none.
  std::uint64_t HeadVersion = 0;
  std::uint64_t HeadStart = 0;
  /// All batches from that number on, in order.
  std::vector<ClaimBatch> Batches;
};

/// The daemon is told to leave: new requests are refused, accepted ones are
/// finished.
struct Shutdown {};

using RequestEvent =
    std::variant<RequestArrived, CallerDisconnected, AttemptEnded,
                 EndpointStatus, ConfigurationChanged, PeersChanged,
                 PeerMessageReceived, ClaimAnswered, ClaimLogOpened,
                 ClaimsLoaded, Shutdown, Tick>;

/// Sends a request's body to an endpoint.
struct SendAttempt {
  RequestId Request;
  AttemptId Attempt;
  EndpointId Endpoint;
  /// Host and port.
  std::string Address;
  /// The attempt must not be started after this, and ends here at the latest.
  TimePoint Deadline;
};

/// Gives up an attempt; its answer no longer counts.
struct CancelAttempt {
  AttemptId Attempt;
};

/// The whole answer of that attempt goes to the caller.
struct CompleteAnswer {
  AttemptId Attempt;
  int Status = 0;
};

/// The request ran before under the same key; the daemon that ran it may
/// still have the answer. Without it the refusal is AlreadyRan.
struct RetainedAnswer {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  ClaimIdentity Identity;
  int Status = 0;
};

/// A refusal; RetryAfter is zero where repeating does not help.
struct Refusal {
  Reason Why = Reason::None;
  Duration RetryAfter{};
};

/// The final answer to a caller; given exactly once for each request, but for
/// requests whose caller has gone.
struct Answer {
  RequestId Request;
  std::variant<CompleteAnswer, RetainedAnswer, Refusal> Result;
};

/// Reads the claim log: first its head record, then all batches from that
/// number on (one by one until one is absent; by a listing if it is 0).
struct LoadClaims {
  std::uint64_t From = 0;
};

/// Writes the head record of the claim log, only if it has that version (0:
/// only if absent). The record has no time to live.
struct OpenClaimLog {
  std::uint64_t ExpectedVersion = 0;
  /// The number of the next batch.
  std::uint64_t Start = 0;
  ClaimIdentity Writer;
  /// Not to be sent to the store after this.
  TimePoint ValidUntil;
};

/// Creates the store record of a batch, only if its number is absent.
struct RecordClaims {
  ClaimBatch Batch;
  /// Not to be sent to the store after this.
  TimePoint ValidUntil;
  /// The store deletes the record by itself after this span, or later.
  Duration TimeToLive{};
};

/// Sends a message to another daemon; it may be lost.
struct SendPeerMessage {
  DaemonId To;
  PeerMessage Message;
};

/// A request is tried again for this reason; for the counters.
struct RetryCounted {
  Reason Why = Reason::None;
};

/// The shutdown is complete: no request is left.
struct Drained {};

using RequestAction =
    std::variant<SendAttempt, CancelAttempt, Answer, RecordClaims, OpenClaimLog,
                 LoadClaims, SendPeerMessage, RetryCounted, Drained>;

} // namespace banyanworks

#endif
