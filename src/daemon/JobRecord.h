/// \file
/// Defines JobRecord, the store record of an accepted job.
#ifndef BANYANWORKS_DAEMON_JOBRECORD_H
#define BANYANWORKS_DAEMON_JOBRECORD_H

#include "base/Error.h"
#include "base/Reason.h"
#include "model/Job.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// A job as it was accepted and, once it has ended, its final phase and reason.
struct JobRecord {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::None;
};

/// The store key of a job's record.
std::string jobRecordKey(const DomainId &Domain, JobId Job);
/// The key prefix of all job records of a failure domain.
std::string jobRecordPrefix(const DomainId &Domain);

std::string jobRecordToJson(const JobRecord &Record);
Outcome<JobRecord> jobRecordFromJson(std::string_view Text);

/// True if a job in \p Phase has ended.
bool isTerminal(JobPhase Phase);

} // namespace banyanworks

#endif
