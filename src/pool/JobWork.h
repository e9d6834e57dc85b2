/// \file
/// Defines jobWork() and dominantShare(), which express the work of a job in
/// relation to the capacity of a pool.
#ifndef BANYANWORKS_POOL_JOBWORK_H
#define BANYANWORKS_POOL_JOBWORK_H

#include "base/Time.h"
#include "base/Units.h"

#include <cstdint>

namespace banyanworks::pool {

struct JobSpec;
struct StepSpec;

/// Returns the largest share of \p Total that \p Used takes of any resource.
double dominantShare(const Resources &Used, const Resources &Total);

/// Returns the time that workers with the capacity \p Usable, all together,
/// need for \p Tasks tasks of a step that run for \p RunTime each.
Duration stepWork(const StepSpec &Step, std::uint32_t Tasks, Duration RunTime,
                  const Resources &Usable);

/// Returns the time that workers with the capacity \p Usable, all together,
/// need for a job that has not started, by its estimates. Steps without an
/// expected end and jobs that run at scheduled times count zero.
Duration jobWork(const JobSpec &Spec, const Resources &Usable);

} // namespace banyanworks::pool

#endif
