/// \file
/// Defines the read-only views of a failure domain's scheduler, for operators
/// and callers.
#ifndef BANYANWORKS_JOBS_JOBVIEWS_H
#define BANYANWORKS_JOBS_JOBVIEWS_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "base/Units.h"
#include "jobs/GangStateMachine.h"
#include "model/Job.h"
#include "model/Worker.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks {

/// One job as it stands.
struct JobView {
  std::shared_ptr<const JobSpec> Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::None;
  /// Identifies the present or last run; grows, with gaps.
  std::uint64_t Run = 0;
  std::uint32_t Restarts = 0;
  TimePoint SubmittedAt;
  /// When the job came to this phase.
  TimePoint PhaseSince;
  bool UnderGuarantee = false;
  /// Run time that checkpoints have saved so far.
  Duration SavedRunTime{};
  /// The members of the present run; empty while there is none.
  std::vector<GangMember> Members;
};

/// Why a job stands where it does, and what would let it start.
struct JobExplanation {
  JobView Job;
  /// Waiting jobs of the same workspace that come before it.
  std::uint32_t JobsAhead = 0;
  /// When capacity is expected to be free for it, if that was worked out.
  std::optional<TimePoint> ExpectedStart;
  /// Workers that are being kept free for it.
  std::vector<WorkerId> ReservedWorkers;
  /// Other jobs that are being reclaimed for it.
  std::vector<JobId> ReclaimedJobs;
  /// A sentence for people: what has to happen before it starts.
  std::string StartCondition;
};

/// One worker as the scheduler sees it.
struct WorkerView {
  WorkerInfo Info;
  Resources Free;
  std::uint32_t Tasks = 0;
  /// True while the worker is set aside because tasks fail on it.
  bool Quarantined = false;
};

/// One workspace's standing in the failure domain.
struct WorkspaceView {
  WorkspaceId Id;
  std::int32_t GuaranteedAccelerators = 0;
  /// In use under the guarantee.
  std::int32_t UsedAccelerators = 0;
  /// Everything in use, and the part of it that runs on lent capacity.
  Resources InUse;
  Resources Borrowed;
  std::uint32_t WaitingJobs = 0;
  std::uint32_t RunningJobs = 0;
};

/// How many gangs of one size fit now, and how many would fit the same free
/// accelerators if they were packed perfectly.
struct FragmentationView {
  struct Size {
    std::int32_t Accelerators = 0;
    std::uint32_t FitNow = 0;
    std::uint32_t FitIfPacked = 0;
  };
  std::int32_t TotalAccelerators = 0;
  std::int32_t FreeAccelerators = 0;
  std::vector<Size> Sizes;
};

/// The state of the scheduler as a whole.
struct DomainView {
  DomainId Id;
  bool Owner = false;
  Epoch Term;
  bool Recovering = false;
  bool InService = true;
  TimePoint StartPermittedUntil;
  std::uint32_t Workers = 0;
  std::uint32_t WaitingJobs = 0;
  std::uint32_t ActiveJobs = 0;
};

} // namespace banyanworks

#endif
