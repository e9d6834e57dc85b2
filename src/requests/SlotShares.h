/// \file
/// Defines SlotShares, which divides the slots of endpoints between daemons.
/// Each endpoint has a home daemon that leases its slots to holders. No daemon
/// starts an attempt without a leased slot.
#ifndef BANYANWORKS_REQUESTS_SLOTSHARES_H
#define BANYANWORKS_REQUESTS_SLOTSHARES_H

#include "model/Configuration.h"
#include "requests/PeerDirectory.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace banyanworks {

/// The slots of one daemon, in its roles as a holder and as a home.
class SlotShares {
public:
  SlotShares(const RouterSettings &Settings, PeerDirectory &Peers);

  /// Sets the configured endpoints. No attempt runs longer than
  /// \p LongestAttempt.
  void setEndpoints(TimePoint Now,
                    const std::map<EndpointId, Endpoint> &Declared,
                    Duration LongestAttempt);

  /// Sets the number of slots that an endpoint reported.
  void setSlots(const EndpointId &Id, std::uint32_t Slots);

  /// Sets the number of slots of the endpoint that this daemon could use.
  void setRequestedSlots(TimePoint Now, const EndpointId &Id,
                         std::uint32_t Requested);

  /// Determines the homes, drops expired holders and divides the slots. Must be
  /// called at each tick and after demands have changed.
  void refresh(TimePoint Now);

  /// True if a leased slot of the endpoint is free.
  bool canStart(TimePoint Now, const EndpointId &Id) const;
  void onAttemptStarted(const EndpointId &Id);
  void onAttemptEnded(TimePoint Now, const EndpointId &Id);

  /// Slots that this daemon holds, leased or running an attempt.
  std::uint32_t heldSlots(TimePoint Now, const EndpointId &Id) const;
  std::uint32_t busySlots(const EndpointId &Id) const;

  /// Applies the demands and grants of a report.
  void onPeerReport(TimePoint Now, const PeerReport &Report);
  /// Adds the demands and grants for \p Recipient to a report.
  void addToReport(TimePoint Now, const DaemonId &Recipient,
                   PeerReport &Report);

  /// Peers to which a changed demand or grant is to be reported soon.
  const std::set<DaemonId> &urgentPeers() const { return UrgentPeers; }
  void clearUrgent(const DaemonId &Recipient) { UrgentPeers.erase(Recipient); }

private:
  /// The state of one holder as known to the home.
  struct Holding {
    Incarnation HolderIncarnation;
    /// Upper bound of the slots that the holder may be using.
    std::uint32_t MaxHeld = 0;
    std::uint32_t RequestedSlots = 0;
    std::uint32_t BusySlots = 0;
    std::uint32_t Grant = 0;
    /// Grants that the holder may not have received, with the sequence number
    /// of their report.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> UnseenGrants;
    TimePoint LastReportAt;
    TimePoint LeaseEnd;
  };
  struct Share {
    std::uint32_t Slots = 0;
    DomainId Domain;
    DaemonId Home;
    DaemonId Successor;
    TimePoint HomeSince;
    // As a holder.
    std::uint32_t Granted = 0;
    std::uint32_t BusySlots = 0;
    std::uint32_t RequestedSlots = 0;
    TimePoint LeaseEnd;
    // As a home or its successor.
    std::map<DaemonId, Holding> Holders;
  };

  void electHomes(TimePoint Now);
  bool areHoldingsKnown(TimePoint Now, const Share &Value) const;
  void dropExpiredHolders(TimePoint Now, Share &Value);
  void divideSlots(TimePoint Now, Share &Value);
  std::uint32_t slotsPresumedHeld(TimePoint Now, const Share &Value) const;
  void recordDemand(TimePoint Now, const PeerReport &Report, Share &Value,
                    const SlotDemand &Demand);
  std::uint32_t currentHeldSlots(TimePoint Now, const Share &Value) const;

  PeerOptions Options;
  PeerDirectory &Peers;
  Duration AttemptGrace{};
  TimePoint StartedAt;
  bool HasStarted = false;
  std::uint64_t HomesDigest = 0;
  std::map<EndpointId, Share> Shares;
  std::set<DaemonId> UrgentPeers;
};

} // namespace banyanworks

#endif
