/// \file
/// Defines JobRecord, what the store keeps of an accepted job.
#ifndef BANYANWORKS_DAEMON_JOBRECORD_H
#define BANYANWORKS_DAEMON_JOBRECORD_H

#include "base/Error.h"
#include "base/Reason.h"
#include "model/Job.h"

#include <string>
#include <string_view>

namespace banyanworks {

/// A job as it was accepted and, once it is over, how it ended.
struct JobRecord {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::None;
};

/// The key of a job's record.
std::string jobRecordKey(const DomainId &Domain, JobId Job);
/// The prefix of all records of a failure domain.
std::string jobRecordPrefix(const DomainId &Domain);

std::string jobRecordToJson(const JobRecord &Record);
Outcome<JobRecord> jobRecordFromJson(std::string_view Text);

/// True if a job in that phase is over.
bool isTerminal(JobPhase Phase);

} // namespace banyanworks

#endif
