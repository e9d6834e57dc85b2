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
  /// Hosts to take down.
  std::vector<HostId> Orders;
};

/// Drains the hosts of a wave and takes them down. No more hosts are down or
/// being taken down than the wave allows, and no host is taken down while its
/// worker holds tasks.
///
/// The plan is not stored: an order for a host that is already maintained is
/// answered with Done and has no effect, so a new owner starts with a new
/// plan.
class MaintenancePlan {
public:
  explicit MaintenancePlan(const MaintenanceWave &Wave);

  /// Applies the platform's list of all hosts, requested at \p RequestedAt.
  void hostsListed(const std::vector<ListedHost> &Hosts, TimePoint RequestedAt);
  /// Applies the result of an order to take a host down.
  void orderAnswered(const HostId &Host, MaintenanceResult Result,
                     TimePoint Now);
  /// Advances the plan. \p HoldsWork returns whether a worker may still hold
  /// tasks.
  MaintenanceStep
  nextStep(const std::function<bool(const WorkerId &)> &HoldsWork,
           TimePoint Now);
  /// Whether each host that still exists has been maintained.
  bool isCompleted() const;
  const MaintenanceWave &wave() const { return Wave; }

private:
  enum class Phase : std::uint8_t {
    Waiting,
    Draining,
    /// An order is in flight, or was not answered and may be executed at any
    /// time.
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
