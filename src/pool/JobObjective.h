/// \file
/// Defines the time within which a job is to end, from its chain of work and
/// the terms of its queue.
#ifndef BANYANWORKS_POOL_JOBOBJECTIVE_H
#define BANYANWORKS_POOL_JOBOBJECTIVE_H

#include "base/Time.h"

#include <cstdint>

namespace banyanworks::pool {

struct JobSpec;
struct QueueTerms;

/// A job that ends within this many times its objective is still of use.
inline constexpr int MaxLatenessFactor = 3;

/// The longest chain of estimated work from the start of step \p From on.
Duration criticalPathFrom(const JobSpec &Spec, std::uint32_t From);
/// The longest chain of estimated work of the whole job.
Duration criticalPath(const JobSpec &Spec);
/// How long after its acceptance, or the time an occurrence is due, the job is
/// to end.
Duration objectiveOf(Duration CriticalPath, const QueueTerms &Terms);

} // namespace banyanworks::pool

#endif
