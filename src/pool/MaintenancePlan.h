/// \file
/// Defines MaintenancePlan, which decides when the hosts of one wave are
/// emptied and taken down.
#ifndef BANYANWORKS_POOL_MAINTENANCEPLAN_H
#define BANYANWORKS_POOL_MAINTENANCEPLAN_H

#include "pool/MaintenanceWave.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace banyanworks::pool {

/// What a MaintenancePlan asks for now.
struct MaintenanceStep {
  /// Workers that get no new work.
  std::set<WorkerId> Cordoned;
  /// Those of them whose work is moved rather than waited for.
  std::set<WorkerId> Evacuating;
  /// Hosts to be taken down.
  std::vector<HostId> Orders;
};

/// Keeps nothing that must outlive the process: an order for a host that is
/// through already is answered as done and has no effect, so that a new owner
/// begins anew. No more hosts are down or may be going down than the wave
/// allows, and none is taken down while it holds work.
class MaintenancePlan {
public:
  explicit MaintenancePlan(const MaintenanceWave &Wave);

  /// The platform's list of all hosts, asked for at \p AskedAt.
  void hostsListed(const std::vector<ListedHost> &Hosts, TimePoint RequestedAt);
  void orderAnswered(const HostId &Host, MaintenanceResult Result,
                     TimePoint Now);
  /// \p Holds tells whether a worker may still hold work.
  MaintenanceStep
  nextStep(const std::function<bool(const WorkerId &)> &HoldsWork,
           TimePoint Now);
  /// Whether each host that still exists has had its maintenance.
  bool isCompleted() const;
  const MaintenanceWave &wave() const { return Wave; }

private:
  enum class Phase : std::uint8_t {
    Waiting,
    Draining,
    /// An order is out, or was not answered and may be carried out any time.
    Ordered,
    /// The order was answered; the host is down until it is listed as up.
    Confirmed,
    Completed,
    /// It does not exist any more, or does not belong to the wave.
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

  /// Hosts of the wave that are down or may be going down.
  std::size_t countDown() const;

  MaintenanceWave Wave;
  std::map<HostId, Host> Hosts;
  /// How long a host may wait for its work to end.
  Duration DrainTimeout{};
  bool HasList = false;
};

} // namespace banyanworks::pool

#endif
