/// \file
/// Defines Maintenance, which carries out the waves of maintenance that
/// operators ask for, while this daemon owns the pool.
#ifndef BANYANWORKS_POOL_MAINTENANCE_H
#define BANYANWORKS_POOL_MAINTENANCE_H

#include "pool/MaintenancePlan.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace banyanworks {
class DecisionLog;
class Timers;
} // namespace banyanworks

namespace banyanworks::pool {

class HostControl;
class PoolOwner;

class Maintenance {
public:
  Maintenance(HostControl &Control, PoolOwner &Owner, Timers &Clock,
              DecisionLog &Log);

  /// A wave that operators ask for; null if they withdrew it.
  void waveChanged(WaveNumber Number, const MaintenanceWave *Wave);
  /// Call when the ownership of the pool comes and goes.
  void ownershipChanged(bool IsOwner);

private:
  struct ActiveWave {
    MaintenancePlan Plan;
    /// Whether an earlier owner completed the wave is known.
    bool Checked = false;
    bool CheckInFlight = false;
    /// What the operators were told last.
    bool ReportedRunning = false;
    bool ReportedCompleted = false;
    bool ReportInFlight = false;
  };

  void tick();
  void list();
  void takeDown(WaveNumber Wave, const HostId &Host);
  void checkCompleted(ActiveWave &Wave);
  void report(ActiveWave &Wave);
  bool hasOpenWaves() const;

  HostControl &Control;
  PoolOwner &Owner;
  Timers &Clock;
  DecisionLog &Log;
  std::map<WaveNumber, MaintenanceWave> RequestedWaves;
  std::map<WaveNumber, ActiveWave> ActiveWaves;
  bool OwnsPool = false;
  bool TickScheduled = false;
  bool ListInFlight = false;
  /// Counts changes of the ownership; answers to earlier calls are dropped.
  std::uint64_t Term = 0;
};

} // namespace banyanworks::pool

#endif
