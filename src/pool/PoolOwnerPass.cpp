/// \file
/// Implements the scheduling passes of a PoolOwner: orders, commits, advice,
/// and the renewal of the workers' leases.
#include "pool/PoolOwner.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/Adviser.h"
#include "pool/JobCache.h"
#include "pool/JobName.h"
#include "pool/ProgressKey.h"
#include "pool/StoreKeys.h"
#include "pool/WorkerLink.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Job entries in one commit: a store transaction takes 32 operations, three of
/// which are the head, its condition and the load. The list of lease bounds
/// takes the place of one entry.
constexpr std::size_t JobEntriesPerCommit = 29;

} // namespace

struct PoolOwner::PendingCommit {
  Transaction Changes;
  std::vector<JobChange> Jobs;
  bool WritesBounds = false;
  bool WritesLoad = false;
  TimePoint SentAt;
};

void PoolOwner::schedulePass() {
  if (Phase != Role::Owner || std::exchange(PassScheduled, true))
    return;
  std::uint64_t CallTerm = Term;
  Clock.schedule(Limits.BatchDelay, [this, CallTerm] {
    if (CallTerm == Term)
      runPass();
  });
}

void PoolOwner::schedulePlacement(TimePoint Now) {
  if (std::exchange(PlacementScheduled, true))
    return;
  std::uint64_t CallTerm = Term;
  Clock.schedule(Pace.nextStart() - Now, [this, CallTerm] {
    if (CallTerm != Term)
      return;
    PlacementScheduled = false;
    runPass();
  });
}

void PoolOwner::runPass() {
  PassScheduled = false;
  if (Scheduler->fenced()) {
    stepDown("a worker reported a higher fencing token");
    return;
  }
  TimePoint Now = Clock.now();
  // After a process pause, orders may be due although a successor has started
  // the same tasks elsewhere; a successor may do so once this limit has passed.
  if (!mayActAt(Now)) {
    stepDown(NotRenewed);
    return;
  }
  // The answer to a renewal usually triggers the next renewal of that worker.
  // The sweep finds workers that need a renewal for other reasons, and expired
  // leases.
  bool SweepDue = Now - LastSweepAt >= Limits.SweepInterval;
  if (SweepDue) {
    LastSweepAt = Now;
    expireLeases(Now);
    updateLeaseBounds(Now);
  }
  Scheduler->setDirectoryCurrent(directoryCurrent(Now));
  bool MayPlace = Pace.mayStartAt(Now);
  sendOrders(MayPlace ? Scheduler->runPass(Now, Clock.wallNow())
                      : Scheduler->dueOrders(Now));
  commit();
  // A question for the adviser comes from the placement.
  if (MayPlace)
    askAdviser();
  renewWorkers(SweepDue);
  if (SweepDue)
    removeFinalJobs();
  if (MayPlace)
    Pace.passed(Now, Clock.now());
  else
    schedulePlacement(Now);
  if (PassScheduled)
    return;
  // Work may become due without an event, so the next pass has a time limit.
  std::uint64_t CallTerm = Term;
  TimePoint ThisPassAt = Now;
  Clock.schedule(Limits.MaxPassInterval, [this, CallTerm, ThisPassAt] {
    if (CallTerm == Term && ThisPassAt == LastPassAt)
      schedulePass();
  });
  LastPassAt = ThisPassAt;
}

bool PoolOwner::directoryCurrent(TimePoint Now) const {
  if (!DirectoryConfirmedAt)
    return true;
  TimePoint ConfirmedAt = DirectoryConfirmedAt();
  return ConfirmedAt != TimePoint::min() &&
         Now - ConfirmedAt < Limits.MaxDirectoryAge;
}

void PoolOwner::sendOrders(const PoolOrders &Orders) {
  std::uint64_t CallTerm = Term;
  // A start order extends the worker's lease too. It follows a commit that was
  // built after the worker's answer, which took the worker off the Bounds.
  for (const StartOrder &Order : Orders.Starts) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.start(*Worker, Order, [this, CallTerm, Order](OrderResult Result) {
      if (CallTerm != Term)
        return;
      Scheduler->startAnswered(Order, Result, Clock.now());
      if (Result != OrderResult::Done)
        schedulePass();
    });
  }
  for (const PaceOrder &Order : Orders.Paces) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.pace(*Worker, Order, [this, CallTerm, Order](OrderResult Result) {
      if (CallTerm != Term)
        return;
      Scheduler->paceAnswered(Order, Result, Clock.now());
      if (Result != OrderResult::Done)
        schedulePass();
    });
  }
  for (const StopOrder &Order : Orders.Stops) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.stop(*Worker, Order, [this, CallTerm, Order](OrderResult Result) {
      if (CallTerm != Term)
        return;
      Scheduler->stopAnswered(Order, Result, Clock.now());
      schedulePass();
    });
  }
}

void PoolOwner::commit() {
  bool BoundsDue = Bounds.changed() && Isolation.allowsBounds();
  auto Scope = Isolation.scope();
  bool Searches = Scope != CommitIsolation::Scope::Everything;
  if (CommitInFlight || (!Searches && !Scheduler->hasChanges() && !BoundsDue))
    return;
  auto Write = std::make_shared<PendingCommit>();
  Write->WritesBounds = BoundsDue && !Searches;
  if (Scope == CommitIsolation::Scope::OneJob)
    Write->Jobs = Scheduler->changes(JobEntriesPerCommit, Isolation.job());
  else if (!Searches)
    Write->Jobs =
        Scheduler->changes(JobEntriesPerCommit - (Write->WritesBounds ? 1 : 0));
  Write->Changes.Conditions.push_back({std::string(HeadKey), Head});
  Write->Changes.Puts.push_back(
      {std::string(HeadKey), nextHead(), StoreLeaseId()});
  for (const JobChange &Change : Write->Jobs) {
    std::string Name = jobName(Change.Job);
    std::string Key = progressKey({Change.Job, Change.Part});
    if (Change.Progress.empty())
      Write->Changes.Deletes.push_back(std::move(Key));
    else
      Write->Changes.Puts.push_back(
          {std::move(Key), Change.Progress, StoreLeaseId()});
    if (Change.Status) {
      Write->Changes.Puts.push_back({std::string(StatusPrefix) + Name,
                                     std::string(jobStatusName(*Change.Status)),
                                     StoreLeaseId()});
    }
  }
  if (Write->WritesBounds) {
    std::string List = Bounds.startCommit();
    if (List.empty())
      Write->Changes.Deletes.emplace_back(LeaseBoundsKey);
    else
      Write->Changes.Puts.push_back(
          {std::string(LeaseBoundsKey), std::move(List), StoreLeaseId()});
  }
  if (TimePoint Now = Clock.now();
      !Searches && Isolation.allowsLoad() &&
      Now - LoadPublishedAt >= Limits.LoadPublishInterval) {
    LoadPublishedAt = Now;
    Write->WritesLoad = true;
    PoolLoad Load = Scheduler->load(Now);
    Load.MeasuredAt = Clock.wallNow();
    Load.Covers = KnownJobs.watch().revision();
    Write->Changes.Puts.push_back(
        {std::string(LoadKey), Load.encode(), StoreLeaseId()});
  }
  CommitInFlight = true;
  sendCommit(Write);
}

void PoolOwner::sendCommit(const std::shared_ptr<PendingCommit> &Write) {
  std::uint64_t CallTerm = Term;
  Write->SentAt = Clock.now();
  Store.commit(Write->Changes, Limits.CommitTimeout,
               [this, CallTerm, Write](const TransactionResult &Result) {
                 if (CallTerm == Term)
                   commitDone(Write, Result);
               });
}

void PoolOwner::commitDone(const std::shared_ptr<PendingCommit> &Write,
                           const TransactionResult &Result) {
  StoreRevision Version = Result.Version;
  if (Result.Status == CallStatus::Invalid || Result.LeaseGone) {
    commitRefused(*Write);
    return;
  }
  if (Result.Status == CallStatus::Rejected) {
    // If an earlier attempt of this commit succeeded and its response was lost,
    // the stored head is the one that this commit writes.
    const std::string &OwnHead = Write->Changes.Puts.front().Value;
    auto Found = std::find_if(
        Result.Current.begin(), Result.Current.end(),
        [](const StoreEntry &Entry) { return Entry.Key == HeadKey; });
    if (Found == Result.Current.end() || Found->Value != OwnHead) {
      stepDown("another owner has written the ownership head");
      return;
    }
    Version = Found->Version;
  } else if (Result.Status != CallStatus::Done) {
    std::uint64_t OwnHead = Term;
    Clock.schedule(Limits.CommitRetry, [this, OwnHead, Write] {
      if (OwnHead == Term)
        sendCommit(Write);
    });
    return;
  }
  Head = Version;
  CommitInFlight = false;
  if (std::any_of(Write->Changes.Puts.begin(), Write->Changes.Puts.end(),
                  [](const Transaction::Put &Put) {
                    return Put.Key.starts_with(SharedPrefix);
                  }))
    KnownJobs.watch().expectRevision(Version);
  Scheduler->committed(Write->Jobs, Clock.now());
  if (auto AtFault = Isolation.accepted())
    Scheduler->setAside(*AtFault);
  if (Write->WritesBounds)
    leaseBoundsCommitted(Clock.now());
  Log.write(LogLevel::Routine, "owner.recorded",
            {{"revision", Version.value()},
             {"jobs", Write->Jobs.size()},
             {"took_us", (Clock.now() - Write->SentAt).count()}});
  runPass();
}

void PoolOwner::commitRefused(const PendingCommit &Write) {
  std::vector<JobId> Refused;
  std::string Names;
  for (const JobChange &Change : Write.Jobs) {
    if (!Refused.empty() && Refused.back() == Change.Job)
      continue;
    Refused.push_back(Change.Job);
    Names.append(Names.empty() ? "" : ",").append(jobName(Change.Job));
  }
  bool HeadOnly = Isolation.scope() == CommitIsolation::Scope::HeadOnly;
  Log.write(LogLevel::Change, "owner.commit_refused",
            {{"jobs", Names},
             {"load", Write.WritesLoad ? "yes" : "no"},
             {"bounds", Write.WritesBounds ? "yes" : "no"}});
  if (Write.WritesBounds)
    Bounds.commitRefused();
  Isolation.refused(Refused, Write.WritesLoad || Write.WritesBounds);
  std::uint64_t CallTerm = Term;
  Clock.schedule(HeadOnly ? Limits.RefusedCommitRetry : Duration::zero(),
                 [this, CallTerm] {
                   if (CallTerm != Term)
                     return;
                   CommitInFlight = false;
                   commit();
                 });
}

void PoolOwner::askAdviser() {
  if (!AdviserService || AdviceInFlight || !Scheduler->pendingAdvice())
    return;
  // The adviser handles one request per daemon at a time.
  AdviceInFlight = true;
  std::uint64_t CallTerm = Term;
  TimePoint SentAt = Clock.now();
  AdviceRequest Request = *Scheduler->pendingAdvice();
  AdviserService->ask(Request, [this, CallTerm, SentAt,
                                Request](const AdviceResponse &Response) {
    if (CallTerm != Term)
      return;
    Scheduler->adviceReceived(Request, Response, SentAt);
    Clock.schedule(Response.Answered ? Duration::zero() : Limits.AdviceRetry,
                   [this, CallTerm] {
                     if (CallTerm != Term)
                       return;
                     AdviceInFlight = false;
                     schedulePass();
                   });
  });
}

TimePoint PoolOwner::leasesEndBy(const RenewalState &State) const {
  TimePoint Granted = Workers.leasesEndBy(State.Worker->Id);
  if (auto Earlier = Bounds.endsBy(State.Worker->Id))
    return std::max(Granted, *Earlier);
  if (State.HasReported)
    return Granted;
  return std::max(Granted, Horizon.earlierLeasesEndBy());
}

void PoolOwner::updateLeaseBounds(TimePoint Now) {
  if (Now - RecoveredAt >= Limits.LeaseListDelay &&
      !std::exchange(UnansweredListed, true)) {
    WallTime Wall = Clock.wallNow();
    Scheduler->visitWorkers([this, Now, Wall](const RenewalState &State) {
      if (State.HoldsRuns && !State.HasReported)
        Bounds.add(State.Worker->Id, leasesEndBy(State), Now, Wall);
    });
    if (Bounds.changed()) {
      Log.write(
          LogLevel::Change, "leases.listed",
          {{"token", Token.value()}, {"workers", Bounds.listed().size()}});
    }
  }
  for (const WorkerId &Id : Bounds.listed()) {
    auto State = Scheduler->renewalState(Id);
    if (!State || State->HasReported || !State->HoldsRuns)
      Bounds.release(Id);
  }
}

void PoolOwner::leaseBoundsCommitted(TimePoint Now) {
  for (const WorkerId &Id : Bounds.committed()) {
    auto State = Scheduler->renewalState(Id);
    if (!State)
      continue;
    Renewals[Id].NotBefore = TimePoint();
    renewIfDue(*State, Now);
  }
}

void PoolOwner::expireLeases(TimePoint Now) {
  Scheduler->visitWorkers([this, Now](const RenewalState &State) {
    bool NoContact = State.Unresponsive || !State.HasReported;
    if (NoContact && State.HoldsRuns && Now > leasesEndBy(State))
      Scheduler->leasesExpired(State.Worker->Id, Now);
  });
}

void PoolOwner::renewWorkers(bool IncludeUnchanged) {
  TimePoint Now = Clock.now();
  std::set<WorkerId> ChangedWorkers = Scheduler->takeRenewals();
  if (IncludeUnchanged) {
    Scheduler->visitWorkers(
        [this, Now](const RenewalState &State) { renewIfDue(State, Now); });
    return;
  }
  for (const WorkerId &Id : ChangedWorkers)
    if (auto State = Scheduler->renewalState(Id))
      renewIfDue(*State, Now);
}

void PoolOwner::renewLater(const WorkerId &Id, Duration Pause) {
  std::uint64_t CallTerm = Term;
  Clock.schedule(Pause, [this, CallTerm, Id] {
    if (CallTerm != Term || !Scheduler)
      return;
    if (auto State = Scheduler->renewalState(Id))
      renewIfDue(*State, Clock.now());
  });
}

void PoolOwner::renewIfDue(const RenewalState &State, TimePoint Now) {
  if (State.Worker->Address.empty())
    return;
  Renewal &Tracked = Renewals[State.Worker->Id];
  if (Tracked.InFlight)
    return;
  bool MustAcknowledge = Tracked.AcknowledgedTo < State.Acknowledged;
  bool Needed = MustAcknowledge || State.HoldsRuns || State.AwaitsLateOrders ||
                !State.HasReported || State.HasUnrecordedEnds ||
                State.Unresponsive || Restarts.isDue(State.Worker->Id, Now);
  if (Needed && (MustAcknowledge || Now >= Tracked.NotBefore))
    renewWorker(State, Tracked);
}

void PoolOwner::renewWorker(const RenewalState &State, Renewal &Tracked) {
  RenewOrder Order;
  // The worker may be a new incarnation, which numbers its ends from 1. A
  // cursor of the earlier incarnation would make it drop ends that were never
  // received, so the cursor is sent only when there are ends to acknowledge.
  if (!State.Unresponsive && Tracked.AcknowledgedTo < State.Acknowledged)
    Order.Acknowledged = State.Acknowledged;
  Order.ExtendLease = !State.Unresponsive && mayActAt(Clock.now()) &&
                      !Bounds.withholdsLease(State.Worker->Id);
  if (State.Unresponsive)
    Order.Timeout = Limits.UnresponsiveTimeout;
  // A worker with ends that cannot be acknowledged yet would answer at once.
  bool IsFollowed = State.HoldsRuns || State.AwaitsLateOrders;
  if (IsFollowed && !State.HasUnrecordedEnds && Order.ExtendLease)
    Order.MaxWait = Limits.RenewalWait;
  Tracked.InFlight = true;
  std::uint64_t CallTerm = Term;
  TimePoint SentAt = Clock.now();
  Restarts.asked(State.Worker->Id, SentAt);
  Workers.renew(*State.Worker, Order,
                [this, CallTerm, Id = State.Worker->Id, Order,
                 SentAt](const WorkerReport &Report) {
                  if (CallTerm == Term)
                    renewalAnswered(Id, Order, SentAt, Report);
                });
}

void PoolOwner::renewalAnswered(const WorkerId &Id, const RenewOrder &Order,
                                TimePoint SentAt, const WorkerReport &Report) {
  TimePoint Now = Clock.now();
  Renewal &Tracked = Renewals[Id];
  Tracked.InFlight = false;
  bool Answered = Report.Result == OrderResult::Done;
  if (Answered) {
    Tracked.AcknowledgedTo = Order.Acknowledged;
    Restarts.reported(Id, Report.WorkerIncarnation, SentAt, Now);
    Bounds.release(Id);
    if (Order.ExtendLease)
      Bounds.leaseExtended(Id);
  }
  Duration Pause = Answered ? Duration::zero() : Limits.UnresponsiveRetry;
  Scheduler->workerReported(Id, Report, SentAt, Now);
  auto State = Scheduler->renewalState(Id);
  if (!State) {
    Renewals.erase(Id);
  } else {
    // A new incarnation numbers its ends from 1.
    if (Tracked.AcknowledgedTo > State->Acknowledged)
      Tracked.AcknowledgedTo = 0;
    if (Answered && (State->HasUnrecordedEnds || Bounds.withholdsLease(Id)))
      Pause = Limits.RenewalWait;
    else if (!Answered && State->HasReported && !State->HoldsRuns &&
             !State->AwaitsLateOrders)
      Pause = Limits.SilentWorkerInterval;
    Tracked.NotBefore = Now + Pause;
  }
  if (!Answered || !Report.Ended.empty() || Scheduler->takeStopsDue() ||
      Scheduler->hasChanges() || Bounds.changed())
    schedulePass();
  if (!State)
    return;
  if (Pause > Duration::zero())
    renewLater(Id, Pause);
  else
    renewIfDue(*State, Now);
}

void PoolOwner::removeFinalJobs() {
  TimePoint Now = Clock.now();
  for (auto At = FinalJobs.begin(); At != FinalJobs.end();) {
    auto Entry = At++;
    if (Now - Entry->second < Limits.FinalJobRetention ||
        !Scheduler->removeJob(Entry->first))
      continue;
    std::string Name = jobName(Entry->first);
    Transaction Changes;
    // A removal that arrives after a takeover would take a job from a successor
    // that still holds it.
    Changes.Conditions.push_back(
        {std::string(OwnerKey), StoreRevision(Token.value())});
    // The caller may have resubmitted the job and replaced the refusal mark.
    if (StoreRevision Mark = KnownJobs.refusalRevision(Entry->first);
        Mark != StoreRevision())
      Changes.Conditions.push_back({std::string(JobPrefix) + Name, Mark});
    for (std::string_view Prefix : {JobPrefix, StatusPrefix, CancelPrefix})
      Changes.Deletes.push_back(std::string(Prefix) + Name);
    // A failed removal is retried when the job is next seen as final.
    Store.commit(
        Changes, Limits.CommitTimeout,
        [this, Name](const TransactionResult &Result) {
          Log.write(
              LogLevel::Routine, "job.removed",
              {{"job", Name},
               {"done", Result.Status == CallStatus::Done ? "yes" : "no"}});
        });
    FinalJobs.erase(Entry);
  }
}

} // namespace banyanworks::pool
