/// \file
/// Defines StepSpec, what a job asks for in one of its steps.
#ifndef BANYANWORKS_POOL_STEPSPEC_H
#define BANYANWORKS_POOL_STEPSPEC_H

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// A step's tasks are alike; they wait for all tasks of earlier steps.
struct StepSpec {
  std::uint32_t Tasks = 1;
  Resources PerTask;
  /// The caller's rough estimate of one task's duration.
  Duration Estimate{};
  /// Steps, counted from 0, whose tasks must all be done first.
  std::vector<std::uint32_t> After;
  bool Checkpoints = false;
  /// The tasks work only together, and end together.
  bool Gang = false;
  /// The tasks slow each other down when they span racks.
  bool SameRack = false;
  bool MayRunTwice = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  /// The tasks use only what others leave idle of the processor; what they ask
  /// of it is not held for them.
  bool FillsIdle = false;
  /// For a long-running step that serves users: the bound on the tail of its
  /// response times. Zero if it serves nobody.
  Duration TailTarget{};
  /// The most tasks of one occurrence on a worker; zero for no limit.
  std::uint32_t MaxPerWorker = 0;
  /// Tasks of a long-running step that our own orders may keep from working.
  std::uint32_t MaxUnavailable = 0;
  /// A label that the worker must have; empty for none.
  std::string RequiredLabel;
  /// The rack that holds the data; empty if it does not matter.
  RackId DataRack;

  /// What one task takes of a worker's capacity.
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
