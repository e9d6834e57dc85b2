/// \file
/// Defines the messages that the routers of one service exchange between
/// daemons: periodic reports with load and slot leases, and claims.
#ifndef BANYANWORKS_REQUESTS_PEERMESSAGES_H
#define BANYANWORKS_REQUESTS_PEERMESSAGES_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "requests/Claim.h"

#include <variant>
#include <vector>

namespace banyanworks {

/// Sent by a slot holder to the home of the endpoint: the number of slots that
/// the holder has, that run an attempt, and that it could use.
struct SlotDemand {
  EndpointId Endpoint;
  std::uint32_t HeldSlots = 0;
  std::uint32_t BusySlots = 0;
  std::uint32_t RequestedSlots = 0;

  bool operator==(const SlotDemand &) const = default;
};

/// Sent by the home of an endpoint: the total number of slots that the receiver
/// has leased.
struct SlotGrant {
  EndpointId Endpoint;
  std::uint32_t Granted = 0;

  bool operator==(const SlotGrant &) const = default;
};

/// The state of an endpoint as observed by the sender's own attempts.
struct EndpointObservation {
  EndpointId Endpoint;
  std::uint32_t InFlight = 0;
  bool Draining = false;
  bool Ejected = false;

  bool operator==(const EndpointObservation &) const = default;
};

/// The sender's usage of a limit that all daemons share.
struct LimitUsage {
  MethodId Method;
  /// Requests per second that arrived at the sender.
  double ArrivalRate = 0;
  /// Requests queued or in progress at the sender.
  std::uint32_t Open = 0;

  bool operator==(const LimitUsage &) const = default;
};

/// The periodic report of one daemon to another one.
struct PeerReport {
  ServiceId Service;
  DaemonId Sender;
  Incarnation SenderIncarnation;
  DomainId Domain;
  /// Incremented with each report from this sender to this receiver.
  std::uint64_t Sequence = 0;
  /// The sender's clock, in microseconds; meaningful to the sender alone.
  std::int64_t SentAt = 0;
  /// Incarnation, sequence number and clock of the receiver's latest report,
  /// echoed.
  Incarnation EchoIncarnation;
  std::uint64_t EchoSequence = 0;
  std::int64_t EchoSentAt = 0;
  /// A hash of the daemons that the sender considers alive. Two daemons with
  /// the same hash agree on the home of each endpoint.
  std::uint64_t LiveDigest = 0;
  /// True if the sender is shutting down.
  bool Draining = false;
  std::vector<SlotDemand> Demands;
  std::vector<SlotGrant> Grants;
  std::vector<EndpointObservation> Endpoints;
  std::vector<LimitUsage> Limits;

  bool operator==(const PeerReport &) const = default;
};

/// Asks the home of the keys to record claims.
struct ClaimRequest {
  ServiceId Service;
  DaemonId Sender;
  std::vector<Claim> Claims;

  bool operator==(const ClaimRequest &) const = default;
};

/// Reports the outcomes of claims to the home; repeated until acknowledged.
struct ClaimReport {
  ServiceId Service;
  DaemonId Sender;
  std::vector<ClaimOutcome> Outcomes;

  bool operator==(const ClaimReport &) const = default;
};

/// The home's answer to ClaimRequest and ClaimReport.
struct ClaimReply {
  ServiceId Service;
  DaemonId Sender;
  std::vector<ClaimDecision> Decisions;
  /// The claims whose outcomes are recorded.
  std::vector<ClaimIdentity> Acknowledged;

  bool operator==(const ClaimReply &) const = default;
};

using PeerMessage =
    std::variant<PeerReport, ClaimRequest, ClaimReport, ClaimReply>;

} // namespace banyanworks

#endif
