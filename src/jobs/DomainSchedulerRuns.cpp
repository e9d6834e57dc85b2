/// \file
/// Implements the life of a job: its admission, its runs and its end.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

/// Runs that a job may lose with its workers before it is taken for the cause.
constexpr std::uint32_t MaxLosses = 10;

/// A run of this length shows that the job does not take its workers down.
constexpr Duration LossesForgivenAfter = std::chrono::minutes(10);

/// The wait after a refused hold; doubles up to the restart backoff.
constexpr Duration HoldBackoff = std::chrono::milliseconds(200);

/// Run numbers of one epoch start at a multiple of this, above all earlier
/// ones.
constexpr std::uint64_t RunsPerEpoch = 4096;

Duration doubled(Duration First, std::uint32_t Times, Duration Limit) {
  constexpr std::uint32_t MostDoublings = 20;
  return std::min(Limit, First * (1U << std::min(Times, MostDoublings)));
}

} // namespace

void DomainScheduler::admit(Job &Target) {
  Reason Why = refusal(*Target.Spec);
  if (Why != Reason::None)
    return end(Target, JobPhase::Refused, Why);
  if (Target.MayRunUnheard) {
    Target.Why = Reason::Recovering;
    return;
  }
  enqueue(Target);
}

Reason DomainScheduler::refusal(const JobSpec &Spec) {
  if (Spec.Members == 0 || (!Spec.Domain.empty() && Spec.Domain != Id))
    return Reason::InvalidArgument;
  if (Config) {
    auto Found = Config->Workspaces.find(Spec.Workspace);
    if (Found == Config->Workspaces.end())
      return Reason::UnknownWorkspace;
    Resources Whole = Spec.PerMember * static_cast<std::int32_t>(Spec.Members);
    const Resources &Quota = Found->second.Quota;
    if ((Quota.MilliCores && Whole.MilliCores > Quota.MilliCores) ||
        (Quota.MemoryMiB && Whole.MemoryMiB > Quota.MemoryMiB) ||
        (Quota.Accelerators && Whole.Accelerators > Quota.Accelerators))
      return Reason::QuotaExceeded;
  }
  // Nothing is refused for its size until the workers are known.
  if (!Recovery.nothingUnheard(Now) || !Roster.sizesKnown() ||
      Space.cells().workerCount() == 0)
    return Reason::None;
  return Space.fitsEmptyDomain(Spec) ? Reason::None : Reason::NeverFits;
}

QueueKey DomainScheduler::queueKey(const Job &Target) const {
  auto Urgency = static_cast<std::uint8_t>(Target.Spec->Urgency);
  auto Most = static_cast<std::uint8_t>(Priority::Urgent);
  std::uint8_t Class = Order->heedsUrgency() ? Most - Urgency : 0;
  return QueueKey{
      Class, Order->rank(*Target.Spec, Target.SubmittedAt, Target.Estimate),
      Target.Spec->Id};
}

void DomainScheduler::enqueue(Job &Target) {
  Target.Estimate = std::max(Duration::zero(),
                             Estimator.estimate(*Target.Spec) - Target.Kept);
  Queue.insert(Target.Spec->Workspace, queueKey(Target),
               JobShape(*Target.Spec));
  Target.InQueue = true;
  Target.Why = Reason::WaitsForTurn;
  Dirty = true;
}

void DomainScheduler::dequeue(Job &Target) {
  if (!Target.InQueue)
    return;
  Queue.erase(Target.Spec->Workspace, queueKey(Target), JobShape(*Target.Spec));
  Target.InQueue = false;
}

void DomainScheduler::runTimers() {
  while (std::optional<JobId> Due = Timers.takeDue(Now)) {
    Job *Target = Jobs.find(*Due);
    if (!Target)
      continue;
    Target->TimerAt = TimePoint::max();
    if (Target->terminal())
      continue;
    if (Target->active()) {
      GangContext Context = context();
      Target->Gang->onTime(Context);
      settle(*Target);
      continue;
    }
    if (!Target->InQueue && !Target->MayRunUnheard) {
      if (Now >= Target->NotBefore)
        admit(*Target);
      else
        setTimer(*Target);
    }
  }
}

void DomainScheduler::setTimer(Job &Target) {
  TimePoint At = Target.active() ? Target.Gang->deadline() : Target.NotBefore;
  if (At >= Target.TimerAt)
    return;
  Target.TimerAt = At;
  Timers.add(At, Target.Spec->Id);
}

void DomainScheduler::setPhase(Job &Target, JobPhase Phase, Reason Why) {
  Target.Why = Why;
  if (Target.Phase == Phase)
    return;
  Target.Phase = Phase;
  Target.Since = Now;
  Actions.push_back(JobProgressed{Target.Spec->Id, Phase, Why});
}

void DomainScheduler::start(Job &Target, const PlacementResult &Placement,
                            bool UnderGuarantee) {
  dequeue(Target);
  dropReclaim(Target.Spec->Id);
  Reserved.drop(Target.Spec->Id);
  if (Health.setAsideCount() != 0) {
    for (const MemberPlacement &Member : Placement.Members)
      Health.noteStart(Member.Worker);
  }
  std::uint64_t Base = Term.value() * RunsPerEpoch;
  Target.Run = std::max(Target.Run + 1, Base);
  Target.UnderGuarantee =
      Space.occupy(*Target.Spec, Target.Run, Placement.Members, UnderGuarantee);
  Target.Gang.emplace(Target.Spec, Target.Run, Placement.Members);
  ActiveJobs.insert(Target.Spec->Id);
  noteLoan(Target);
  GangContext Context = context();
  Target.Gang->begin(Context);
  settle(Target);
}

void DomainScheduler::settle(Job &Target) {
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
    setPhase(Target, JobPhase::Checkpointing, Target.Gang->why());
    break;
  case GangStage::Stopping:
    Target.Why = Target.Gang->why();
    break;
  case GangStage::Over:
    return finishRun(Target);
  }
  setTimer(Target);
}

void DomainScheduler::finishRun(Job &Target) {
  const GangMachine Gang = *Target.Gang;
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member)
    Space.releaseMember(TaskId{Target.Spec->Id, Gang.run(), Member});
  Space.closeAccount(*Target.Spec);
  judgeRun(Target, Gang);
  ActiveJobs.erase(Target.Spec->Id);
  Loans.erase(Target.Spec->Id);
  Target.UnderGuarantee = false;
  Dirty = true;
  victimOver(Target.Spec->Id);
  if (Gang.end() == GangEnd::Succeeded)
    return end(Target, JobPhase::Succeeded, Reason::None);
  if (Gang.end() == GangEnd::Cancelled)
    return end(Target, JobPhase::Cancelled, Reason::CallerGone);
  forgetRun(Target.Spec->Id, Gang);
  Target.Gang.reset();
  switch (Gang.end()) {
  case GangEnd::Undone:
    if (Gang.why() != Reason::HoldRefused)
      return restartLater(Target, Gang.why(), Duration::zero());
    return restartLater(
        Target, Reason::HoldRefused,
        doubled(HoldBackoff, Target.RefusedHolds++, Settings.RestartBackoff));
  case GangEnd::Failed:
    return finishFailed(Target, Gang);
  case GangEnd::Lost:
    if (Target.Losses++ >= MaxLosses)
      return end(Target, JobPhase::Failed, Reason::WorkerLost);
    // The window lets a rack be lost as a whole before all are placed anew.
    return restartLater(Target, Reason::WorkerLost, Settings.RackLossWindow);
  default:
    Target.Kept += Gang.kept();
    Target.LastMoved = Now;
    if (Gang.why() == Reason::ExceedsDeclaration)
      return finishFailed(Target, Gang);
    return restartLater(Target, Gang.why(), Duration::zero());
  }
}

void DomainScheduler::judgeRun(Job &Target, const GangMachine &Gang) {
  if (Health.setAsideCount() != 0) {
    for (const GangMember &Member : Gang.members())
      Health.noteEnd(Member.Place.Worker);
  }
  for (std::uint32_t Member = 0; Member != Gang.members().size(); ++Member)
    Usage.forget(TaskId{Target.Spec->Id, Gang.run(), Member});
  Duration Ran = Gang.startedAt() ? Now - *Gang.startedAt() : Duration::zero();
  if (Ran > LossesForgivenAfter)
    Target.Losses = 0;
  switch (Gang.end()) {
  case GangEnd::Succeeded:
    Estimator.learn(*Target.Spec, Target.Kept + Ran);
    for (const GangMember &Member : Gang.members())
      Health.noteSuccess(Member.Place.Worker, Now);
    return;
  case GangEnd::Failed:
    Health.noteFailure(Gang.brokenBy(), Target.Spec->Id, Now);
    Target.FailedAt = Gang.brokenBy();
    return;
  case GangEnd::Undone:
    if (Gang.why() == Reason::HoldRefused && !Gang.brokenBy().empty()) {
      Health.noteRefusal(Gang.brokenBy(), Target.Spec->Id, Now);
      Target.FailedAt = Gang.brokenBy();
    }
    return;
  default:
    return;
  }
}

void DomainScheduler::finishFailed(Job &Target, const GangMachine &Gang) {
  bool Overuse = Gang.why() == Reason::ExceedsDeclaration;
  // A failure at a worker that fails everything is not the job's.
  bool OfWorker = !Overuse && Health.isSetAside(Gang.brokenBy());
  if (!OfWorker && Target.Restarts++ >= Target.Spec->MaxRestarts)
    return end(Target, JobPhase::Failed,
               Overuse ? Reason::ExceedsDeclaration : Reason::RestartLimit);
  if (OfWorker)
    return restartLater(Target, Reason::WorkerSuspect, HoldBackoff);
  restartLater(Target,
               Overuse ? Reason::ExceedsDeclaration : Reason::WaitsForBackoff,
               doubled(Settings.RestartBackoff, Target.Restarts - 1,
                       Settings.RestartBackoffLimit));
}

void DomainScheduler::restartLater(Job &Target, Reason Why, Duration Wait) {
  Target.NotBefore = Now + Wait;
  setPhase(Target, JobPhase::Queued, Why);
  if (Wait > Duration::zero())
    return setTimer(Target);
  enqueue(Target);
  Target.Why = Why;
}

void DomainScheduler::end(Job &Target, JobPhase Phase, Reason Why) {
  dequeue(Target);
  dropReclaim(Target.Spec->Id);
  Reserved.drop(Target.Spec->Id);
  Health.forgetJob(Target.Spec->Id);
  Target.MayRunUnheard = false;
  setPhase(Target, Phase, Why);
  Jobs.noteTerminal(Target.Spec->Id, Settings.TerminalJobsKept);
}

} // namespace banyanworks
