/// \file
/// Defines StepSpec, the requirements of one step of a job.
#ifndef BANYANWORKS_POOL_STEPSPEC_H
#define BANYANWORKS_POOL_STEPSPEC_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// All tasks of a step have the same requirements. They start once all tasks
/// of the steps in After are done.
struct StepSpec {
  std::uint32_t Tasks = 1;
  Resources PerTask;
  /// The caller's estimate of the run time of one task.
  Duration Estimate{};
  /// Indices, from 0, of the steps whose tasks have to be done first.
  std::vector<std::uint32_t> After;
  bool Checkpoints = false;
  /// The tasks can only run together, and end together.
  bool Gang = false;
  /// The tasks run slower if they span racks.
  bool SameRack = false;
  bool MayRunTwice = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  /// Best-effort tasks: they use only processor time that other tasks leave
  /// idle, and no cores are allocated to them.
  bool FillsIdle = false;
  /// Upper bound of the tail response time of a long-running step that serves
  /// users. Zero if it serves no users.
  Duration TailTarget{};
  /// Maximum number of tasks of one occurrence on a worker; zero for no limit.
  std::uint32_t MaxPerWorker = 0;
  /// Number of tasks of a long-running step that the daemon's own orders may
  /// stop at a time.
  std::uint32_t MaxUnavailable = 0;
  /// Label that a worker needs to run the step; empty for none.
  std::string RequiredLabel;
  /// Rack that holds the step's data; empty for no preference.
  RackId DataRack;

  /// Resources that one task allocates on a worker.
  Resources allocatedResources() const {
    Resources Allocated = PerTask;
    if (FillsIdle)
      Allocated.MilliCores = 0;
    return Allocated;
  }
  bool servesUsers() const { return TailTarget > Duration::zero(); }

  bool operator==(const StepSpec &) const = default;
};

} // namespace banyanworks::pool

#endif
