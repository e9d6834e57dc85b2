/// \file
/// Defines RunTable, the runs that may hold resources on one worker, from their
/// planning until they are known to have ended.
#ifndef BANYANWORKS_POOL_RUNTABLE_H
#define BANYANWORKS_POOL_RUNTABLE_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"
#include "pool/StartEvidence.h"
#include "pool/TaskKey.h"
#include "pool/WorkerTime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace banyanworks::pool {

/// What the owner knows of a run.
enum class RunPhase : std::uint8_t {
  /// The worker is chosen, but the run is not yet recorded; no order was sent.
  Planned,
  /// A start order was sent; the worker has not answered.
  Ordered,
  /// The worker has confirmed the run.
  Confirmed,
  /// Read from the record of an earlier owner; the worker has not yet reported
  /// it.
  Inherited,
};

/// One run of one task on a worker.
struct PlacedRun {
  Resources Allocated;
  /// The workspace whose cap the run counts against, and what it counts there;
  /// empty for a run of an unknown job.
  WorkspaceId Workspace;
  Resources Charged;
  RunPhase Phase = RunPhase::Planned;
  /// An earlier owner ordered the run, at an unknown time.
  bool Inherited = false;
  /// The incarnation of the worker that the run was last ordered from, or
  /// stopped at again; zero if it is not known.
  Incarnation Life;
  /// Version of the job that has to be recorded of the run's group before the
  /// first order.
  std::uint64_t PlannedVersion = 0;
  /// When the worker confirmed the run.
  TimePoint ConfirmedAt;
  /// When the first start order was sent.
  TimePoint OrderedAt;
  /// Earliest time of the next start or stop order.
  TimePoint NextOrderAt;
  bool OrderInFlight = false;
  StartEvidence Evidence;
  /// When the last start order was known to get no answer.
  std::optional<TimePoint> UnansweredAt;
  /// The loss of the worker under the unanswered start order is recorded; unset
  /// again by a report that lists the run.
  bool LossRecorded = false;
  bool StopRequested = false;
  /// When the worker confirmed the stop order.
  std::optional<TimePoint> StopConfirmedAt;
  std::uint32_t ProgressPercent = 0;
  /// When ProgressPercent was reported.
  TimePoint ReportedAt;
  /// The first report of progress, and its time. A run that resumes from a
  /// checkpoint or is inherited does not start at zero.
  std::optional<std::uint32_t> FirstPercent;
  TimePoint FirstReportedAt;
  /// Progress at the last sample that entered the speed measurement.
  std::uint32_t SampledPercent = 0;
  std::optional<WorkerTime> SampledAt;
  /// Pace that the worker confirmed last; nothing if unknown, as for a
  /// best-effort task that an earlier owner started.
  std::optional<std::uint32_t> ConfirmedPacePercent = 100;
  bool PaceInFlight = false;
  TimePoint NextPaceAt;
  /// Highest speed measured for the run, in percent of its work per second.
  double BestSpeed = 0.0;
  /// First sample for WorkerSpeeds; nothing before the run makes progress.
  std::optional<std::uint32_t> RatedFromPercent;
  WorkerTime RatedFrom;
  /// The run has given its rate to WorkerSpeeds.
  bool Rated = false;

  /// Whether an order was sent that the worker may or may not have received.
  bool isUnanswered() const {
    return Phase == RunPhase::Ordered && UnansweredAt.has_value();
  }
  /// Whether the worker has restarted since the order, if \p Reported is its
  /// incarnation.
  bool isOfEarlierLife(Incarnation Reported) const {
    return Life != Incarnation() && Life != Reported;
  }
  /// Whether a report that lists the run, requested at \p RequestedAt, shows
  /// that a confirmed stop does not end it: the worker may have restarted
  /// since, or a stop takes no longer than \p StopTime.
  bool outlastsStop(Incarnation Reported, TimePoint RequestedAt,
                    Duration StopTime) const {
    return StopConfirmedAt && (isOfEarlierLife(Reported) ||
                               RequestedAt > *StopConfirmedAt + StopTime);
  }
  /// Keeps the run, which was lost with an earlier incarnation, until it is
  /// stopped on the incarnation \p Current.
  void awaitStopOn(Incarnation Current) {
    Phase = RunPhase::Ordered;
    UnansweredAt.reset();
    LossRecorded = true;
    repeatStop(Current);
  }
  /// Makes a stop order due again, for the worker's incarnation \p Current.
  void repeatStop(Incarnation Current) {
    Life = Current;
    StopConfirmedAt.reset();
    NextOrderAt = TimePoint();
  }
};

using RunKey = std::pair<TaskKey, RunNumber>;
using RunTable = std::map<RunKey, PlacedRun>;

} // namespace banyanworks::pool

#endif
