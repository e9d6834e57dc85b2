/// \file
/// Defines RunTable, the runs that may hold room on one worker, from the moment
/// they are planned until it is certain that they are over.
#ifndef BANYANWORKS_POOL_RUNTABLE_H
#define BANYANWORKS_POOL_RUNTABLE_H

#include "base/Time.h"
#include "base/Units.h"
#include "pool/TaskKey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace banyanworks::pool {

/// How much is known of a run.
enum class RunPhase : std::uint8_t {
  /// Chosen, but not yet recorded; no order was given.
  Planned,
  /// Ordered; the worker has not answered.
  Ordered,
  /// The worker has said that it holds the run.
  Confirmed,
  /// Found in the record of an earlier owner; the worker was not asked yet.
  Inherited,
};

/// One run of one task on a worker.
struct PlacedRun {
  Resources Allocated;
  RunPhase Phase = RunPhase::Planned;
  /// The version of the job that has to be recorded before the first order.
  std::uint64_t PlannedVersion = 0;
  /// When the worker confirmed it.
  TimePoint ConfirmedAt;
  /// When the first order was given.
  TimePoint OrderedAt;
  /// When the next order may be given, to start or to stop.
  TimePoint NextOrderAt;
  bool OrderInFlight = false;
  bool StopRequested = false;
  /// When the worker answered the order to stop.
  std::optional<TimePoint> StopConfirmedAt;
  std::uint32_t ProgressPercent = 0;
  /// The progress at the last look that was compared with the one before.
  std::uint32_t SampledPercent = 0;
  TimePoint SampledAt;
  /// The pace that the worker has confirmed, and whether an order to change it
  /// is under way; nothing is known of a filler that an earlier owner started.
  std::optional<std::uint32_t> ConfirmedPacePercent = 100;
  bool PaceInFlight = false;
  TimePoint NextPaceAt;
  /// The best pace that the run has shown, in percent a second.
  double BestSpeed = 0.0;
};

using RunKey = std::pair<TaskKey, RunNumber>;
using RunTable = std::map<RunKey, PlacedRun>;

} // namespace banyanworks::pool

#endif
