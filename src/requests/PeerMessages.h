/// \file
/// Defines what the request planes of two daemons tell each other about one
/// service: periodic reports with load and slot leases, and claims.
#ifndef BANYANWORKS_REQUESTS_PEERMESSAGES_H
#define BANYANWORKS_REQUESTS_PEERMESSAGES_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "requests/Claim.h"

#include <variant>
#include <vector>

namespace banyanworks {

/// What a holder of slots tells the endpoint's home: how many slots it holds,
/// how many of them run an attempt, and how many it could use.
struct SlotDemand {
  EndpointId Endpoint;
  std::uint32_t Held = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Wanted = 0;

  bool operator==(const SlotDemand &) const = default;
};

/// What an endpoint's home leases to the receiver, in all.
struct SlotGrant {
  EndpointId Endpoint;
  std::uint32_t Granted = 0;

  bool operator==(const SlotGrant &) const = default;
};

/// What a daemon knows of an endpoint from its own traffic.
struct EndpointObservation {
  EndpointId Endpoint;
  std::uint32_t InFlight = 0;
  bool Draining = false;
  bool Ejected = false;

  bool operator==(const EndpointObservation &) const = default;
};

/// A daemon's use of a limit that the deployment shares.
struct LimitUsage {
  MethodId Method;
  /// Requests a second that arrived at this daemon.
  double ArrivalRate = 0;
  /// Requests queued or in progress at this daemon.
  std::uint32_t Open = 0;

  bool operator==(const LimitUsage &) const = default;
};

/// One daemon's periodic report to another one.
struct PeerReport {
  ServiceId Service;
  DaemonId From;
  Incarnation SenderIncarnation;
  DomainId Domain;
  /// Grows with each report from this sender to this receiver.
  std::uint64_t Sequence = 0;
  /// The sender's clock, in microseconds; meaningful to the sender alone.
  std::int64_t SentAt = 0;
  /// Process, sequence and clock of the receiver's latest report, sent back.
  Incarnation EchoIncarnation;
  std::uint64_t EchoSequence = 0;
  std::int64_t EchoSentAt = 0;
  /// A digest of the daemons that the sender takes for alive; two daemons with
  /// the same digest agree on the home of each endpoint.
  std::uint64_t LiveDigest = 0;
  /// True once the sender is shutting down.
  bool Leaving = false;
  std::vector<SlotDemand> Demands;
  std::vector<SlotGrant> Grants;
  std::vector<EndpointObservation> Endpoints;
  std::vector<LimitUsage> Limits;

  bool operator==(const PeerReport &) const = default;
};

/// Asks the home of the keys to record claims.
struct ClaimRequest {
  ServiceId Service;
  DaemonId From;
  std::vector<Claim> Claims;

  bool operator==(const ClaimRequest &) const = default;
};

/// Tells the home how claims ended; repeated until it is acknowledged.
struct ClaimReport {
  ServiceId Service;
  DaemonId From;
  std::vector<ClaimOutcome> Outcomes;

  bool operator==(const ClaimReport &) const = default;
};

/// The home's answer to ClaimAsk and ClaimReport.
struct ClaimReply {
  ServiceId Service;
  DaemonId From;
  std::vector<ClaimDecision> Decisions;
  /// Outcomes that are recorded.
  std::vector<ClaimIdentity> Acknowledged;

  bool operator==(const ClaimReply &) const = default;
};

using PeerMessage =
    std::variant<PeerReport, ClaimRequest, ClaimReport, ClaimReply>;

} // namespace banyanworks

#endif
