/// \file
/// Defines OutageAdmission, which decides whether a job may be accepted while
/// its record cannot be written.
#ifndef BANYANWORKS_STATE_OUTAGEADMISSION_H
#define BANYANWORKS_STATE_OUTAGEADMISSION_H

#include "base/Ids.h"
#include "base/Reason.h"

#include <map>
#include <vector>

namespace banyanworks {

/// What the owner of a domain says of a job when it is asked in an outage.
enum class JobKnowledge : std::uint8_t {
  /// It has all records of its domain and none of this job.
  Absent,
  /// It schedules the job, or knows how it ended.
  Known,
  /// It took over in the outage, so that it may not know all of its jobs.
  Incomplete,
  /// It did not answer.
  Unreachable,
};

/// What to do with a submission in an outage.
struct OutageDecision {
  enum class Kind : std::uint8_t {
    /// Pass it to the owner of another domain.
    Forward,
    /// Accept it once every member of its gang is held; the workers then keep
    /// the record.
    AcceptWhenHeld,
    /// The owner of \ref Domain knows the job; give its answer.
    KnownElsewhere,
    /// Refuse it as not run.
    Refuse,
  };
  Kind Action = Kind::Refuse;
  DomainId Domain;
  Reason Why = Reason::None;
};

/// The only domain that may accept a job in an outage: the highest hash of job
/// and domain. It does not depend on which domains are out, so that it is the
/// same for every daemon and every repetition.
DomainId outageHomeDomain(JobId Job, const std::vector<DomainId> &Domains);

/// Decides at the owner of \p Self. \p Answers are those of the owners of the
/// other domains. A job without a key of its caller (\p Keyed false) has an id
/// that nobody can submit again, so it needs no answers.
OutageDecision
decideOutageAdmission(JobId Job, bool Keyed, const DomainId &Self,
                      const std::vector<DomainId> &Domains,
                      const std::map<DomainId, JobKnowledge> &Answers);

} // namespace banyanworks

#endif
