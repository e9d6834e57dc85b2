/// \file
/// Implements the job lifecycle: admission, runs and completion.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

/// Runs that a job may lose to worker losses before the job itself is
/// considered the cause.
constexpr std::uint32_t MaxLostRuns = 10;

/// A run of at least this length shows that the job does not crash its workers;
/// it resets the count of lost runs.
constexpr Duration LostRunsResetAfter = std::chrono::minutes(10);

/// Initial backoff after a refused hold; doubles up to the restart backoff.
constexpr Duration HoldBackoff = std::chrono::milliseconds(200);

/// Run numbers of an epoch start at the epoch times this value, above all
/// numbers of earlier epochs.
constexpr std::uint64_t RunsPerEpoch = 4096;

Duration exponentialBackoff(Duration Initial, std::uint32_t Times,
                            Duration Limit) {
  constexpr std::uint32_t MaxDoublings = 20;
  return std::min(Limit, Initial * (1U << std::min(Times, MaxDoublings)));
}

} // namespace

void DomainScheduler::admit(Job &Target) {
  Reason Cause = refusalReason(*Target.Spec);
  if (Cause != Reason::None)
    return endJob(Target, JobPhase::Refused, Cause);
  if (Target.MayRunUnreported) {
    Target.StatusReason = Reason::Recovering;
    return;
  }
  enqueue(Target);
}

Reason DomainScheduler::refusalReason(const JobSpec &Spec) {
  if (Spec.Members == 0 || (!Spec.Domain.empty() && Spec.Domain != Id))
    return Reason::InvalidArgument;
  if (Config) {
    auto Found = Config->Workspaces.find(Spec.Workspace);
    if (Found == Config->Workspaces.end())
      return Reason::UnknownWorkspace;
    Resources Total = Spec.PerMember * static_cast<std::int32_t>(Spec.Members);
    const Resources &Quota = Found->second.Quota;
    if ((Quota.MilliCores && Total.MilliCores > Quota.MilliCores) ||
        (Quota.MemoryMiB && Total.MemoryMiB > Quota.MemoryMiB) ||
        (Quota.Accelerators && Total.Accelerators > Quota.Accelerators))
      return Reason::QuotaExceeded;
  }
  // Does not refuse a job as too large until the capacity of the domain is
  // known.
  if (!Recovery.noUnreportedRuns(Now) || !KnownWorkers.capacitiesKnown() ||
      Capacity.cells().workerCount() == 0)
    return Reason::None;
  return Capacity.fitsEmptyDomain(Spec) ? Reason::None : Reason::NeverFits;
}

QueueKey DomainScheduler::queueKey(const Job &Target) const {
  auto Urgency = static_cast<std::uint8_t>(Target.Spec->Urgency);
  auto MaxUrgency = static_cast<std::uint8_t>(Priority::Urgent);
  std::uint8_t Class = QueueOrder->ranksByUrgency() ? MaxUrgency - Urgency : 0;
  return QueueKey{
      Class,
      QueueOrder->rank(*Target.Spec, Target.SubmittedAt, Target.Estimate),
      Target.Spec->Id};
}

void DomainScheduler::enqueue(Job &Target) {
  Target.Estimate = std::max(
      Duration::zero(), Estimator.estimate(*Target.Spec) - Target.SavedRunTime);
  Queue.insert(Target.Spec->Workspace, queueKey(Target),
               JobShape(*Target.Spec));
  Target.InQueue = true;
  Target.StatusReason = Reason::WaitsForTurn;
  PassNeeded = true;
}

void DomainScheduler::dequeue(Job &Target) {
  if (!Target.InQueue)
    return;
  Queue.erase(Target.Spec->Workspace, queueKey(Target), JobShape(*Target.Spec));
  Target.InQueue = false;
}

void DomainScheduler::runTimers() {
  while (std::optional<JobId> DueJob = Timers.takeDue(Now)) {
    Job *Target = Jobs.find(*DueJob);
    if (!Target)
      continue;
    Target->TimerAt = TimePoint::max();
    if (Target->terminal())
      continue;
    if (Target->active()) {
      GangContext Context = context();
      Target->Gang->onDeadline(Context);
      applyGangStage(*Target);
      continue;
    }
    if (!Target->InQueue && !Target->MayRunUnreported) {
      if (Now >= Target->NotBefore)
        admit(*Target);
      else
        setTimer(*Target);
    }
  }
}

void DomainScheduler::setTimer(Job &Target) {
  TimePoint Deadline =
      Target.active() ? Target.Gang->deadline() : Target.NotBefore;
  if (Deadline >= Target.TimerAt)
    return;
  Target.TimerAt = Deadline;
  Timers.add(Deadline, Target.Spec->Id);
}

void DomainScheduler::setPhase(Job &Target, JobPhase Phase, Reason Cause) {
  Target.StatusReason = Cause;
  if (Target.Phase == Phase)
    return;
  Target.Phase = Phase;
  Target.PhaseSince = Now;
  Actions.push_back(JobProgressed{Target.Spec->Id, Phase, Cause});
}

void DomainScheduler::startGang(Job &Target, const PlacementResult &Placement,
                                bool UnderGuarantee) {
  dequeue(Target);
  dropReclaim(Target.Spec->Id);
  GangReservations.drop(Target.Spec->Id);
  if (Health.quarantinedCount() != 0) {
    for (const MemberPlacement &Member : Placement.Members)
      Health.recordStart(Member.Worker);
  }
  std::uint64_t Base = Term.value() * RunsPerEpoch;
  Target.Run = std::max(Target.Run + 1, Base);
  Target.UnderGuarantee = Capacity.occupy(*Target.Spec, Target.Run,
                                          Placement.Members, UnderGuarantee);
  Target.Gang.emplace(Target.Spec, Target.Run, Placement.Members);
  ActiveJobs.insert(Target.Spec->Id);
  trackBorrowingJob(Target);
  GangContext Context = context();
  Target.Gang->begin(Context);
  applyGangStage(Target);
}

void DomainScheduler::applyGangStage(Job &Target) {
  switch (Target.Gang->stage()) {
  case GangStage::Holding:
  case GangStage::Starting:
    setPhase(Target, JobPhase::Holding, Reason::None);
    break;
  case GangStage::Running:
    Target.RefusedHolds = 0;
    setPhase(Target, JobPhase::Running, Reason::None);
    break;
  case GangStage::Checkpointing:
    setPhase(Target, JobPhase::Checkpointing, Target.Gang->endReason());
    break;
  case GangStage::Stopping:
    Target.StatusReason = Target.Gang->endReason();
    break;
  case GangStage::Ended:
    return finishRun(Target);
  }
  setTimer(Target);
}

void DomainScheduler::finishRun(Job &Target) {
  const GangStateMachine Gang = *Target.Gang;
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member)
    Capacity.releaseMember(TaskId{Target.Spec->Id, Gang.run(), Member});
  Capacity.closeAccount(*Target.Spec);
  recordRunOutcome(Target, Gang);
  ActiveJobs.erase(Target.Spec->Id);
  BorrowingJobs.erase(Target.Spec->Id);
  Target.UnderGuarantee = false;
  PassNeeded = true;
  onVictimEnded(Target.Spec->Id);
  if (Gang.end() == GangEnd::Succeeded)
    return endJob(Target, JobPhase::Succeeded, Reason::None);
  if (Gang.end() == GangEnd::Cancelled)
    return endJob(Target, JobPhase::Cancelled, Reason::CallerGone);
  forgetTaskEnds(Target.Spec->Id, Gang);
  Target.Gang.reset();
  switch (Gang.end()) {
  case GangEnd::NotStarted:
    if (Gang.endReason() != Reason::HoldRefused)
      return requeue(Target, Gang.endReason(), Duration::zero());
    return requeue(Target, Reason::HoldRefused,
                   exponentialBackoff(HoldBackoff, Target.RefusedHolds++,
                                      Settings.RestartBackoff));
  case GangEnd::Failed:
    return finishFailed(Target, Gang);
  case GangEnd::Lost:
    if (Target.LostRuns++ >= MaxLostRuns)
      return endJob(Target, JobPhase::Failed, Reason::WorkerLost);
    // Waits for the rack loss window, so that a failing rack is lost as a whole
    // before its gangs are placed again.
    return requeue(Target, Reason::WorkerLost, Settings.RackLossWindow);
  default:
    Target.SavedRunTime += Gang.savedRunTime();
    Target.LastMoved = Now;
    if (Gang.endReason() == Reason::ExceedsDeclaration)
      return finishFailed(Target, Gang);
    return requeue(Target, Gang.endReason(), Duration::zero());
  }
}

void DomainScheduler::recordRunOutcome(Job &Target,
                                       const GangStateMachine &Gang) {
  if (Health.quarantinedCount() != 0) {
    for (const GangMember &Member : Gang.members())
      Health.recordEnd(Member.Placement.Worker);
  }
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member)
    OveruseMonitor.forget(TaskId{Target.Spec->Id, Gang.run(), Member});
  Duration RunTime =
      Gang.startedAt() ? Now - *Gang.startedAt() : Duration::zero();
  if (RunTime > LostRunsResetAfter)
    Target.LostRuns = 0;
  switch (Gang.end()) {
  case GangEnd::Succeeded:
    Estimator.recordRunTime(*Target.Spec, Target.SavedRunTime + RunTime);
    for (const GangMember &Member : Gang.members())
      Health.recordSuccess(Member.Placement.Worker, Now);
    return;
  case GangEnd::Failed:
    Health.recordFailure(Gang.failedWorker(), Target.Spec->Id, Now);
    Target.LastFailedWorker = Gang.failedWorker();
    return;
  case GangEnd::NotStarted:
    if (Gang.endReason() == Reason::HoldRefused &&
        !Gang.failedWorker().empty()) {
      Health.recordRefusal(Gang.failedWorker(), Target.Spec->Id, Now);
      Target.LastFailedWorker = Gang.failedWorker();
    }
    return;
  default:
    return;
  }
}

void DomainScheduler::finishFailed(Job &Target, const GangStateMachine &Gang) {
  bool Overuse = Gang.endReason() == Reason::ExceedsDeclaration;
  // A failure at a quarantined worker does not count against the job.
  bool WorkerAtFault = !Overuse && Health.isQuarantined(Gang.failedWorker());
  if (!WorkerAtFault && Target.Restarts++ >= Target.Spec->MaxRestarts)
    return endJob(Target, JobPhase::Failed,
                  Overuse ? Reason::ExceedsDeclaration : Reason::RestartLimit);
  if (WorkerAtFault)
    return requeue(Target, Reason::WorkerSuspect, HoldBackoff);
  requeue(Target,
          Overuse ? Reason::ExceedsDeclaration : Reason::WaitsForBackoff,
          exponentialBackoff(Settings.RestartBackoff, Target.Restarts - 1,
                             Settings.RestartBackoffLimit));
}

void DomainScheduler::requeue(Job &Target, Reason Cause, Duration Delay) {
  Target.NotBefore = Now + Delay;
  setPhase(Target, JobPhase::Queued, Cause);
  if (Delay > Duration::zero())
    return setTimer(Target);
  enqueue(Target);
  Target.StatusReason = Cause;
}

void DomainScheduler::endJob(Job &Target, JobPhase Phase, Reason Cause) {
  dequeue(Target);
  dropReclaim(Target.Spec->Id);
  GangReservations.drop(Target.Spec->Id);
  Health.forgetJob(Target.Spec->Id);
  Target.MayRunUnreported = false;
  setPhase(Target, Phase, Cause);
  Jobs.markTerminal(Target.Spec->Id, Settings.TerminalJobsKept);
}

} // namespace banyanworks
