/// \file
/// Defines the text forms of job ids, task keys and job statuses in logs and
/// store records.
#ifndef BANYANWORKS_POOL_JOBNAME_H
#define BANYANWORKS_POOL_JOBNAME_H

#include "pool/JobStatus.h"
#include "pool/TaskKey.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanworks::pool {

/// Formats the id as sixteen hexadecimal digits.
std::string jobName(JobId Id);
/// Returns nullopt unless \p Text is sixteen hexadecimal digits.
std::optional<JobId> parseJobName(std::string_view Text);

/// Formats a task as "JOB.OCCURRENCE.STEP.INDEX".
std::string taskName(const TaskKey &Task);
std::optional<TaskKey> parseTaskName(std::string_view Text);

std::string_view jobStatusName(JobStatus Status);
std::optional<JobStatus> parseJobStatus(std::string_view Text);

} // namespace banyanworks::pool

#endif
