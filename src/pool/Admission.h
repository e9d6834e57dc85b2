/// \file
/// Defines admissionDelay(), which decides at its submission whether a job can
/// end in time.
#ifndef BANYANWORKS_POOL_ADMISSION_H
#define BANYANWORKS_POOL_ADMISSION_H

#include "base/Time.h"

#include <optional>

namespace banyanworks::pool {

struct JobSpec;
struct ServiceLoad;

/// Answers a load that stays above what the pool can do: each further job that
/// is accepted ends too late to be of use, and so do jobs behind it. Nothing if
/// the job can end within LateFactor times its objective, else when its caller
/// may come back. Urgent, long-running and scheduled jobs are never turned
/// away: the first reclaim room, the others do not end soon.
///
/// Callers are told different times, so that they do not all return at once.
std::optional<Duration> admissionDelay(const JobSpec &Spec,
                                       const ServiceLoad &Load);

} // namespace banyanworks::pool

#endif
