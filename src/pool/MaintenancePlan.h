/// \file
/// Defines MaintenancePlan, which decides when the hosts of one wave are
/// drained and taken down.
#ifndef BANYANWORKS_POOL_MAINTENANCEPLAN_H
#define BANYANWORKS_POOL_MAINTENANCEPLAN_H

#include "pool/MaintenanceWave.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace banyanworks::pool {

/// The actions that a MaintenancePlan currently requires.
struct MaintenanceStep {
  /// Workers that receive no new tasks.
  std::set<WorkerId> Cordoned;
  /// Subset of Cordoned whose tasks are moved instead of waiting for them to
  /// end.
  std::set<WorkerId> Evacuating;
  /// Hosts whose orders have been sent, or are due, and may take effect at any
  /// time; with the worker of each.
  std::map<HostId, WorkerId> MayGoDown;
  /// Hosts to take down now; a subset of MayGoDown.
  std::vector<HostId> Orders;
};

/// Drains the hosts of a wave and takes them down. No more hosts are down or
/// being taken down than the wave allows, and no host is taken down while its
/// worker holds tasks.
///
/// Of the plan, only the hosts that may go down are stored, by a
/// TakedownJournal. A new owner inherits them and starts with a new plan
/// otherwise: an order for a host that is already maintained is answered with
/// Done and has no effect.
class MaintenancePlan {
public:
  explicit MaintenancePlan(const MaintenanceWave &Wave);

  /// Applies the platform's list of all hosts, requested at \p RequestedAt.
  void hostsListed(const std::vector<ListedHost> &Hosts, TimePoint RequestedAt);
  /// Tells the plan that an earlier owner may have ordered \p Host, whose
  /// worker was \p Worker, to be taken down. It counts as down until an order
  /// of this owner is confirmed, after which the platform rejects the earlier
  /// one.
  void inherit(const HostId &Host, const WorkerId &Worker);
  /// Applies the result of an order to take a host down.
  void orderAnswered(const HostId &Host, MaintenanceResult Result,
                     TimePoint Now);
  /// Advances the plan. \p HoldsWork returns whether a worker may still hold
  /// tasks, and \p IsRecorded whether a successor would inherit the host; hosts
  /// are not ordered before.
  MaintenanceStep
  nextStep(const std::function<bool(const WorkerId &)> &HoldsWork,
           const std::function<bool(const HostId &)> &IsRecorded,
           TimePoint Now);
  /// The hosts that may go down without a further order, and their workers as
  /// cordoned.
  MaintenanceStep pendingOrders() const;
  /// Whether each host that still exists has been maintained.
  bool isCompleted() const;
  const MaintenanceWave &wave() const { return Wave; }

private:
  enum class Phase : std::uint8_t {
    Waiting,
    Draining,
    /// An order is due, in flight, or was not answered and may be executed at
    /// any time.
    Ordered,
    /// The order was confirmed; the host is down until it is listed as up.
    Confirmed,
    Completed,
    /// The host no longer exists or does not belong to the wave.
    Removed,
  };
  struct Host {
    Phase CurrentPhase = Phase::Waiting;
    bool Listed = false;
    HostState ListedState = HostState::Down;
    WorkerId Worker;
    TimePoint DrainingSince;
    TimePoint NextOrderAt;
    TimePoint ConfirmedAt;
    bool OrderInFlight = false;
  };

  /// Number of hosts of the wave that are down or may be going down.
  std::size_t countDown() const;

  MaintenanceWave Wave;
  std::map<HostId, Host> Hosts;
  /// Time that a host's tasks may take to end before they are moved.
  Duration DrainTimeout{};
  bool HasList = false;
};

} // namespace banyanworks::pool

#endif
