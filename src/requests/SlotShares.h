/// \file
/// Defines SlotShares, by which the daemons divide the slots of endpoints.
/// Each endpoint has a home daemon that leases its slots to holders; no daemon
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

/// The shares of one daemon, as a holder of slots and as a home.
class SlotShares {
public:
  SlotShares(const RouterSettings &Settings, PeerDirectory &Peers);

  /// Takes the endpoints of a configuration. An attempt runs at its endpoint
  /// for \p LongestAttempt at the most.
  void setEndpoints(TimePoint Now,
                    const std::map<EndpointId, Endpoint> &Declared,
                    Duration LongestAttempt);

  /// The slots that an endpoint really has, as it told.
  void setSlots(const EndpointId &Id, std::uint32_t Slots);

  /// How many slots of the endpoint this daemon could use.
  void setWanted(TimePoint Now, const EndpointId &Id, std::uint32_t Wanted);

  /// Renews and divides; to be called at each tick and after new demands.
  void refresh(TimePoint Now);

  /// True if a leased slot of the endpoint is free.
  bool canStart(TimePoint Now, const EndpointId &Id) const;
  void onAttemptStarted(const EndpointId &Id);
  void onAttemptEnded(TimePoint Now, const EndpointId &Id);

  /// Slots that this daemon holds now.
  std::uint32_t held(TimePoint Now, const EndpointId &Id) const;
  std::uint32_t busy(const EndpointId &Id) const;

  /// Takes the demands and grants of a report.
  void onPeerReport(TimePoint Now, const PeerReport &Report);
  /// Adds the demands and grants for the receiver.
  void addToReport(TimePoint Now, const DaemonId &To, PeerReport &Report);

  /// Peers that should hear from this daemon soon.
  const std::set<DaemonId> &urgentPeers() const { return UrgentPeers; }
  void clearUrgent(const DaemonId &To) { UrgentPeers.erase(To); }

private:
  /// What a home knows of one holder.
  struct Holding {
    Incarnation HolderIncarnation;
    /// The most slots that the holder may believe to have.
    std::uint32_t MaxHeld = 0;
    std::uint32_t Wanted = 0;
    std::uint32_t Busy = 0;
    std::uint32_t Grant = 0;
    /// Grants that the holder may not have seen yet, by report.
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
    std::uint32_t Busy = 0;
    std::uint32_t Wanted = 0;
    TimePoint LeaseEnd;
    // As a home or its successor.
    std::map<DaemonId, Holding> Holders;
  };

  void electHomes(TimePoint Now);
  bool areHoldingsKnown(TimePoint Now, const Share &Value) const;
  void dropExpiredHolders(TimePoint Now, Share &Value);
  void divideSlots(TimePoint Now, Share &Value);
  std::uint32_t slotsPresumedHeld(TimePoint Now, const Share &Value) const;
  void takeDemand(TimePoint Now, const PeerReport &Report, Share &Value,
                  const SlotDemand &Demand);
  std::uint32_t heldNow(TimePoint Now, const Share &Value) const;

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
