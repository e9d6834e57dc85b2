/// \file
/// Defines the read-only views of the scheduler of a failure domain, for
/// operators and callers.
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

/// State of one job.
struct JobView {
  std::shared_ptr<const JobSpec> Spec;
  JobPhase Phase = JobPhase::Queued;
  Reason StatusReason = Reason::None;
  /// Identifies the current or last run; increases, with gaps.
  std::uint64_t Run = 0;
  std::uint32_t Restarts = 0;
  TimePoint SubmittedAt;
  /// Time at which the job entered the phase.
  TimePoint PhaseSince;
  bool UnderGuarantee = false;
  /// Run time saved by checkpoints so far.
  Duration SavedRunTime{};
  /// Members of the current run; empty while there is none.
  std::vector<GangMember> Members;
};

/// Why a job is in its current state, and what has to happen before it starts.
struct JobExplanation {
  JobView Job;
  /// Number of waiting jobs of the same workspace that come before it.
  std::uint32_t JobsAhead = 0;
  /// Expected start time, if one was computed.
  std::optional<TimePoint> ExpectedStart;
  /// Workers reserved for the job.
  std::vector<WorkerId> ReservedWorkers;
  /// Other jobs that are being reclaimed for the job.
  std::vector<JobId> ReclaimedJobs;
  /// Human-readable sentence: what has to happen before the job starts.
  std::string StartCondition;
};

/// State of one worker.
struct WorkerView {
  WorkerInfo Info;
  Resources Free;
  std::uint32_t Tasks = 0;
  /// True while the worker is quarantined because tasks failed on it, including
  /// probation.
  bool Quarantined = false;
};

/// Usage of one workspace in the failure domain.
struct WorkspaceView {
  WorkspaceId Id;
  std::int32_t GuaranteedAccelerators = 0;
  /// Accelerators in use under the guarantee.
  std::int32_t UsedAccelerators = 0;
  /// All resources in use, and the part of them that is borrowed.
  Resources InUse;
  Resources Borrowed;
  std::uint32_t WaitingJobs = 0;
  std::uint32_t RunningJobs = 0;
};

/// For each number of accelerators: how many single-member gangs fit now, and
/// how many would fit if the same free accelerators were packed perfectly.
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

/// State of the scheduler as a whole.
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
