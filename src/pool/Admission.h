/// \file
/// Defines admissionDelay(), which rejects a submitted job that cannot end in
/// time.
#ifndef BANYANWORKS_POOL_ADMISSION_H
#define BANYANWORKS_POOL_ADMISSION_H

#include "base/Time.h"

#include <optional>

namespace banyanworks::pool {

struct JobSpec;
struct ServiceLoad;

/// Admission control under sustained overload: without it, each further
/// accepted job ends too late to be of use, and so do the jobs behind it.
///
/// \returns nothing if the job can end within MaxLatenessFactor times its
/// objective; otherwise the delay after which the caller may retry. Urgent,
/// long-running and scheduled jobs are never rejected: urgent jobs preempt
/// others, and the other two do not end soon.
///
/// The delay is spread by job id, so that callers do not all retry at once.
std::optional<Duration> admissionDelay(const JobSpec &Spec,
                                       const ServiceLoad &Load);

/// Adds the work of a job that was accepted after the load was measured.
///
/// The load that it addresses: 40 entries receive a burst between two
/// publications of the load, and each admits into the same capacity.
void addAcceptedJob(ServiceLoad &Load, const JobSpec &Spec);

} // namespace banyanworks::pool

#endif
