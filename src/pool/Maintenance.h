/// \file
/// Defines Maintenance, which carries out the maintenance waves that operators
/// request while this daemon owns the pool.
#ifndef BANYANWORKS_POOL_MAINTENANCE_H
#define BANYANWORKS_POOL_MAINTENANCE_H

#include "pool/MaintenancePlan.h"
#include "pool/TakedownJournal.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
} // namespace banyanworks

namespace banyanworks::pool {

class HostControl;
class PoolOwner;

class Maintenance {
public:
  Maintenance(HostControl &Control, PoolOwner &Owner, AsyncStore &Store,
              Timers &Clock, DecisionLog &Log);

  /// Adds, replaces or, if \p Wave is null, withdraws a requested wave.
  void waveChanged(WaveNumber Number, const MaintenanceWave *Wave);
  /// Starts or stops the execution of waves with the ownership of the pool.
  void ownershipChanged(bool IsOwner);

private:
  struct ActiveWave {
    MaintenancePlan Plan;
    /// True once it is known whether an earlier owner has completed the wave.
    bool Checked = false;
    bool CheckInFlight = false;
    /// The state last reported to the operators.
    bool ReportedRunning = false;
    bool ReportedCompleted = false;
    bool ReportInFlight = false;
  };

  /// Adds the plan of a wave, with the hosts that earlier owners had ordered.
  void addPlan(const MaintenanceWave &Wave);
  void journalChanged();
  void tick();
  /// Advances the plans and sends the orders that are due.
  void advance();
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
  TakedownJournal Journal;
  bool OwnsPool = false;
  /// The ownership lease has lapsed; logged once.
  bool Suspended = false;
  bool TickScheduled = false;
  bool ListInFlight = false;
  /// Number of ownership changes; responses to calls of an earlier term are
  /// dropped.
  std::uint64_t Term = 0;
};

} // namespace banyanworks::pool

#endif
