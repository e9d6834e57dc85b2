/// \file
/// Defines UrgentReserve, which keeps workers free for urgent gangs.
#ifndef BANYANWORKS_POOL_URGENTRESERVE_H
#define BANYANWORKS_POOL_URGENTRESERVE_H

#include "base/Time.h"
#include "pool/PoolWorker.h"
#include "pool/SpeedClass.h"

#include <cstdint>
#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace banyanworks::pool {

/// The size of the reserve.
struct ReserveLimits {
  /// Share of all accelerators that is kept when no urgent work arrived
  /// recently: four of 48 workers, so that a gang of common size fits.
  double MinShare = 0.08;
  /// Largest share of all accelerators that is kept.
  double MaxShare = 0.25;
  /// Window over which arrivals of urgent work are counted to size the reserve
  /// between the two shares.
  Duration ArrivalWindow = std::chrono::seconds(5);
  /// The reserve covers the expected arrivals of this time; by its end, tasks
  /// of a few seconds have finished on a good part of the pool.
  Duration Horizon = std::chrono::seconds(2);
};

/// A worker that could run urgent work.
struct FreeWorker {
  const PoolWorker *Worker = nullptr;
  std::int32_t FreeAccelerators = 0;
  /// Whether the worker was in the reserve before. Such workers are preferred,
  /// since moving the reserve would take resources that a gang waits for.
  bool InReserve = false;
  SpeedClass Speed = SpeedClass::Common;
};

/// Sizes and places the reserve by the recent arrivals of urgent work. Without
/// a reserve, urgent gangs that arrive every second at a pool full of longer
/// work each wait until other runs have been stopped, which takes much of their
/// time.
class UrgentReserve {
public:
  explicit UrgentReserve(const ReserveLimits &Limits) : Limits(Limits) {}

  /// Counts urgent work that needs \p Accelerators; \p PrefersOneRack is true
  /// for a gang that runs slower if it spans racks.
  void recordArrival(std::int32_t Accelerators, bool PrefersOneRack,
                     TimePoint Now);
  /// Returns how many of \p Total accelerators to keep free.
  std::int32_t targetAccelerators(std::int32_t Total, TimePoint Now);
  /// Chooses workers with \p NeededAccelerators free in total, from the racks
  /// with the most free accelerators first, since gangs prefer one rack. Fast
  /// workers come before the others in racks whose fast workers have enough
  /// free accelerators for the recent gangs that prefer one rack.
  std::set<WorkerId> chooseWorkers(const std::vector<FreeWorker> &Workers,
                                   std::int32_t NeededAccelerators) const;

private:
  ReserveLimits Limits;
  struct Arrival {
    TimePoint At;
    std::int32_t Accelerators = 0;
    bool PrefersOneRack = false;
  };
  std::deque<Arrival> Arrivals;
  std::int64_t ArrivedAccelerators = 0;
};

} // namespace banyanworks::pool

#endif
