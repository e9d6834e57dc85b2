/// \file
/// Defines a job's objective, the time within which the job should end,
/// derived from its critical path and the terms of its queue.
#ifndef BANYANWORKS_POOL_JOBOBJECTIVE_H
#define BANYANWORKS_POOL_JOBOBJECTIVE_H

#include "base/Time.h"

#include <cstdint>

namespace banyanworks::pool {

struct JobSpec;
struct QueueTerms;

/// A job that ends within this multiple of its objective is still useful.
inline constexpr int MaxLatenessFactor = 3;

/// Length of the longest chain of dependent steps, by estimated time, that
/// starts with step \p FirstStep.
Duration criticalPathFrom(const JobSpec &Spec, std::uint32_t FirstStep);
/// Length of the longest chain of dependent steps in the job, by estimated
/// time.
Duration criticalPath(const JobSpec &Spec);
/// Time within which the job should end, counted from its acceptance or, for
/// an occurrence, from its due time.
Duration objectiveOf(Duration CriticalPath, const QueueTerms &Terms);

} // namespace banyanworks::pool

#endif
