/// \file
/// Defines decideOutageAdmission(), which decides whether a job may be accepted
/// while the store is unavailable and its record cannot be written.
#ifndef BANYANWORKS_STATE_OUTAGEADMISSION_H
#define BANYANWORKS_STATE_OUTAGEADMISSION_H

#include "base/Ids.h"
#include "base/Reason.h"

#include <map>
#include <vector>

namespace banyanworks {

/// The response of a domain's owner to a query about a job in an outage.
enum class JobKnowledge : std::uint8_t {
  /// The owner has all records of its domain and none of this job.
  Absent,
  /// The owner schedules the job or knows its final phase.
  Known,
  /// The owner took over in the outage and may not know all jobs of its domain.
  Incomplete,
  /// The owner did not respond.
  Unreachable,
};

/// The decision about a submission in an outage.
struct OutageDecision {
  enum class Kind : std::uint8_t {
    /// Forward the submission to the owner of \ref Domain.
    Forward,
    /// Accept the job once every member of its gang is held; the workers then
    /// keep its record.
    AcceptWhenHeld,
    /// The owner of \ref Domain knows the job; return its response.
    KnownElsewhere,
    /// Refuse the job as not run.
    Refuse,
  };
  Kind Action = Kind::Refuse;
  DomainId Domain;
  Reason Cause = Reason::None;
};

/// The only domain that may accept a keyed job in an outage: the one with the
/// highest hash of job and domain. It does not depend on which domains are out
/// of service, so every daemon and every repeated submission gets the same one.
DomainId outageHomeDomain(JobId Job, const std::vector<DomainId> &Domains);

/// Decides at the owner of \p Self. \p Answers has the responses of the owners
/// of the other domains. A job without an idempotency key (\p Keyed is false)
/// has a unique id that cannot be submitted again, so it needs no responses.
OutageDecision
decideOutageAdmission(JobId Job, bool Keyed, const DomainId &Self,
                      const std::vector<DomainId> &Domains,
                      const std::map<DomainId, JobKnowledge> &Answers);

} // namespace banyanworks

#endif
