/// \file
/// Defines UrgentReserve, which keeps room free for urgent gangs on a pool that
/// other work would fill.
#ifndef BANYANWORKS_POOL_URGENTRESERVE_H
#define BANYANWORKS_POOL_URGENTRESERVE_H

#include "base/Time.h"
#include "pool/PoolWorker.h"

#include <cstdint>
#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace banyanworks::pool {

/// How much is kept free.
struct ReserveLimits {
  /// The share of all accelerators that is kept when no urgent work came
  /// lately: four of 48 workers, so that a common gang finds room.
  double LeastShare = 0.08;
  /// The share that is kept at most.
  double MostShare = 0.25;
  /// Urgent work that came within this span decides in between.
  Duration ArrivalWindow = std::chrono::seconds(5);
  /// Room is kept for what comes in so long; by then tasks of a few seconds
  /// have ended on a good part of the pool.
  Duration Horizon = std::chrono::seconds(2);
};

/// Free accelerators of a worker that could run urgent work.
struct FreeWorker {
  const PoolWorker *Worker = nullptr;
  std::int32_t FreeAccelerators = 0;
  /// It was chosen in the last turn; a choice that moves would take the room
  /// that a gang waits for.
  bool InReserve = false;
};

/// Answers a load in which urgent gangs come every second to a pool that is
/// full of longer work: without a reserve each of them waits until others have
/// been stopped, which takes much of the time that it has.
class UrgentReserve {
public:
  explicit UrgentReserve(const ReserveLimits &Limits) : Limits(Limits) {}

  /// Urgent work came that needs so many accelerators.
  void recordArrival(std::int32_t Accelerators, TimePoint Now);
  /// How many accelerators of \p Total to keep free.
  std::int32_t targetAccelerators(std::int32_t Total, TimePoint Now);
  /// The workers to keep, the freest racks first; gangs want one rack.
  static std::set<WorkerId>
  chooseWorkers(const std::vector<FreeWorker> &Workers, std::int32_t Wanted);

private:
  ReserveLimits Limits;
  std::deque<std::pair<TimePoint, std::int32_t>> Arrivals;
  std::int64_t ArrivedAccelerators = 0;
};

} // namespace banyanworks::pool

#endif
