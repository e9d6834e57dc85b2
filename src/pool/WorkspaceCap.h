/// \file
/// Defines what the cap of a workspace allows: the arithmetic shared by the
/// scheduler, which limits starts, and by the daemons that accept jobs.
#ifndef BANYANWORKS_POOL_WORKSPACECAP_H
#define BANYANWORKS_POOL_WORKSPACECAP_H

#include "base/Units.h"

#include <cstdint>

namespace banyanworks::pool {

struct JobSpec;
struct PoolConfiguration;
struct StepSpec;

/// Returns \p Cap enlarged by the fraction \p Overage; a component of 0 stays
/// without a limit.
Resources capWithOverage(const Resources &Cap, double Overage);

/// Returns how many tasks that need \p PerTask a workspace may start that holds
/// \p Held; at most \p Count, and none if it holds more than \p Cap of any
/// resource. A component of 0 of \p Cap is no limit.
std::uint32_t tasksWithinCap(const Resources &Held, const Resources &PerTask,
                             const Resources &Cap, std::uint32_t Count);

/// Whether the tasks of the step start together; a gang of one task starts like
/// any single task.
bool startsTogether(const StepSpec &Step);

/// Whether \p Spec has a gang that its workspace may never start under
/// \p Configuration, even if it holds nothing else.
bool exceedsWorkspaceCap(const JobSpec &Spec,
                         const PoolConfiguration &Configuration,
                         double Overage);

} // namespace banyanworks::pool

#endif
