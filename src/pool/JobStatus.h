/// \file
/// Defines JobStatus, the state of a job as reported to its caller.
#ifndef BANYANWORKS_POOL_JOBSTATUS_H
#define BANYANWORKS_POOL_JOBSTATUS_H

#include <cstdint>

namespace banyanworks::pool {

enum class JobStatus : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// True if the status cannot change any more.
inline bool isFinal(JobStatus Status) { return Status > JobStatus::Running; }

} // namespace banyanworks::pool

#endif
