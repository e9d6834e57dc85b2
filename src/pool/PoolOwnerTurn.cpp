/// \file
/// Implements the turns of a PoolOwner: records first, then orders, and the
/// renewal of the workers' leases.
#include "pool/PoolOwner.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/Adviser.h"
#include "pool/JobBoard.h"
#include "pool/JobName.h"
#include "pool/StoreKeys.h"
#include "pool/WorkerLink.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Entries for jobs in one commit: a transaction takes 32, three of which are
/// the head, its condition and the load.
constexpr std::size_t EntriesPerCommit = 29;

} // namespace

struct PoolOwner::Recording {
  Transaction Changes;
  std::vector<JobChange> Jobs;
  TimePoint SentAt;
};

void PoolOwner::turnSoon() {
  if (Phase != Role::Owner || std::exchange(TurnPlanned, true))
    return;
  std::uint64_t Mine = Term;
  Clock.after(Limits.Gather, [this, Mine] {
    if (Mine == Term)
      turn();
  });
}

void PoolOwner::turn() {
  TurnPlanned = false;
  if (Scheduler->fenced()) {
    stepDown("fenced by a worker");
    return;
  }
  TimePoint Now = Clock.now();
  // A process that was paused may wake with orders that are due, and a
  // successor starts the same tasks elsewhere once this time is over.
  if (!mayActAt(Now)) {
    stepDown(NotRenewed);
    return;
  }
  // A worker asks for its next renewal by its answer to the last one. This
  // finds those that need one for other reasons, and leases that are over.
  bool Sweeps = Now - SweptAt >= Limits.SweepInterval;
  if (Sweeps) {
    SweptAt = Now;
    endLeases(Now);
  }
  PoolOrders Orders = Scheduler->pass(Now, Clock.wallNow());
  sendOrders(Orders);
  commit();
  askAdviser();
  renewWorkers(Sweeps);
  if (Sweeps)
    removeFinalJobs();
  if (TurnPlanned)
    return;
  // Work that becomes due by the clock needs a turn without an event.
  std::uint64_t Mine = Term;
  TimePoint Planned = Now;
  Clock.after(Limits.LongestTurn, [this, Mine, Planned] {
    if (Mine == Term && Planned == LastTurn)
      turnSoon();
  });
  LastTurn = Planned;
}

void PoolOwner::sendOrders(const PoolOrders &Orders) {
  std::uint64_t Mine = Term;
  for (const StartOrder &Order : Orders.Starts) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.start(*Worker, Order, [this, Mine, Order](OrderResult Result) {
      if (Mine != Term)
        return;
      Scheduler->startAnswered(Order, Result, Clock.now());
      if (Result != OrderResult::Done)
        turnSoon();
    });
  }
  for (const PaceOrder &Order : Orders.Paces) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.pace(*Worker, Order, [this, Mine, Order](OrderResult Result) {
      if (Mine != Term)
        return;
      Scheduler->paceAnswered(Order, Result, Clock.now());
      if (Result != OrderResult::Done)
        turnSoon();
    });
  }
  for (const StopOrder &Order : Orders.Stops) {
    const PoolWorker *Worker = Scheduler->worker(Order.Worker);
    Workers.stop(*Worker, Order, [this, Mine, Order](OrderResult Result) {
      if (Mine != Term)
        return;
      Scheduler->stopAnswered(Order, Result, Clock.now());
      turnSoon();
    });
  }
}

void PoolOwner::commit() {
  if (CommitOut || !Scheduler->hasChanges())
    return;
  auto Write = std::make_shared<Recording>();
  Write->Jobs = Scheduler->changes(EntriesPerCommit);
  Write->Changes.Conditions.push_back({std::string(HeadKey), Head});
  Write->Changes.Puts.push_back(
      {std::string(HeadKey), nextHead(), StoreLeaseId()});
  for (const JobChange &Change : Write->Jobs) {
    std::string Name = jobName(Change.Job);
    std::string Key = std::string(ProgressPrefix) + Name;
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
  if (TimePoint Now = Clock.now(); Now - LoadTold >= Limits.LoadInterval) {
    LoadTold = Now;
    Write->Changes.Puts.push_back(
        {std::string(LoadKey), Scheduler->load(Now).encode(), StoreLeaseId()});
  }
  CommitOut = true;
  send(Write);
}

void PoolOwner::send(const std::shared_ptr<Recording> &Write) {
  std::uint64_t Mine = Term;
  Write->SentAt = Clock.now();
  Store.commit(Write->Changes, Limits.CommitTimeout,
               [this, Mine, Write](const TransactionResult &Result) {
                 if (Mine == Term)
                   commitDone(Write, Result);
               });
}

void PoolOwner::commitDone(const std::shared_ptr<Recording> &Write,
                           const TransactionResult &Result) {
  StoreRevision Version = Result.Version;
  if (Result.Status == CallStatus::Rejected) {
    // A lost answer to an earlier try of the same commit shows as its head.
    const std::string &Mine = Write->Changes.Puts.front().Value;
    auto Found = std::find_if(
        Result.Current.begin(), Result.Current.end(),
        [](const StoreEntry &Entry) { return Entry.Key == HeadKey; });
    if (Found == Result.Current.end() || Found->Value != Mine) {
      stepDown("another owner has recorded");
      return;
    }
    Version = Found->Version;
  } else if (Result.Status != CallStatus::Done) {
    std::uint64_t Mine = Term;
    Clock.after(Limits.CommitRetry, [this, Mine, Write] {
      if (Mine == Term)
        send(Write);
    });
    return;
  }
  Head = Version;
  CommitOut = false;
  Scheduler->committed(Write->Jobs, Clock.now());
  Log.write(LogLevel::Routine, "owner.recorded",
            {{"revision", Version.value()},
             {"jobs", Write->Jobs.size()},
             {"took_us", (Clock.now() - Write->SentAt).count()}});
  turn();
}

void PoolOwner::askAdviser() {
  if (!Policy || AdviceOut || !Scheduler->adviceWanted())
    return;
  // The adviser handles one question of a daemon at a time.
  AdviceOut = true;
  std::uint64_t Mine = Term;
  TimePoint SentAt = Clock.now();
  AdviceQuestion Question = *Scheduler->adviceWanted();
  Policy->ask(
      Question, [this, Mine, SentAt, Question](const AdviceAnswer &Answer) {
        if (Mine != Term)
          return;
        Scheduler->advised(Question, Answer, SentAt);
        Clock.after(Answer.Answered ? Duration::zero() : Limits.AdviceRetry,
                    [this, Mine] {
                      if (Mine != Term)
                        return;
                      AdviceOut = false;
                      turnSoon();
                    });
      });
}

TimePoint PoolOwner::lapsesBy(const RenewalState &State) const {
  TimePoint Granted = Workers.lapsesBy(State.Worker->Id);
  if (State.Heard)
    return Granted;
  auto Lease =
      scaled(Limits.LongestWorkerLease, 1.0 / (1.0 - WorkerClockError));
  return std::max(Granted, TookOverAt + Limits.RenewWithoutStore + Lease);
}

void PoolOwner::endLeases(TimePoint Now) {
  Scheduler->visitWorkers([this, Now](const RenewalState &State) {
    bool Unheard = State.Silent || !State.Heard;
    if (Unheard && State.HoldsRuns && Now > lapsesBy(State))
      Scheduler->leasesLapsed(State.Worker->Id);
  });
}

void PoolOwner::renewWorkers(bool All) {
  TimePoint Now = Clock.now();
  std::set<WorkerId> Wanted = Scheduler->takeRenewals();
  if (All) {
    Scheduler->visitWorkers(
        [this, Now](const RenewalState &State) { renewIfDue(State, Now); });
    return;
  }
  for (const WorkerId &Id : Wanted)
    if (auto State = Scheduler->renewalState(Id))
      renewIfDue(*State, Now);
}

void PoolOwner::renewLater(const WorkerId &Id, Duration Pause) {
  std::uint64_t Mine = Term;
  Clock.after(Pause, [this, Mine, Id] {
    if (Mine != Term || !Scheduler)
      return;
    if (auto State = Scheduler->renewalState(Id))
      renewIfDue(*State, Clock.now());
  });
}

void PoolOwner::renewIfDue(const RenewalState &State, TimePoint Now) {
  if (State.Worker->Address.empty())
    return;
  Renewal &Its = Renewals[State.Worker->Id];
  if (Its.Out)
    return;
  bool Acknowledges = Its.AcknowledgedTo < State.Acknowledged;
  bool Needed =
      Acknowledges || State.HoldsRuns || !State.Heard || State.HasOpenEnds;
  if (Needed && (Acknowledges || Now >= Its.Next))
    renewWorker(State, Its);
}

void PoolOwner::renewWorker(const RenewalState &State, Renewal &Its) {
  RenewOrder Order;
  // A worker may have started anew under its id. It counts its ends anew, and
  // an old cursor would make it forget ends that nobody saw; so the cursor is
  // sent only when there is something to acknowledge.
  if (!State.Silent && Its.AcknowledgedTo < State.Acknowledged)
    Order.Acknowledged = State.Acknowledged;
  Order.Extend = !State.Silent && mayActAt(Clock.now());
  if (State.Silent)
    Order.Timeout = Limits.SilentTimeout;
  // A worker with ends that cannot be acknowledged yet would answer at once.
  if (State.HoldsRuns && !State.HasOpenEnds && Order.Extend)
    Order.Wait = Limits.RenewalWait;
  Its.Out = true;
  std::uint64_t Mine = Term;
  TimePoint SentAt = Clock.now();
  Workers.renew(*State.Worker, Order,
                [this, Mine, Id = State.Worker->Id, Order,
                 SentAt](const WorkerReport &Report) {
                  if (Mine == Term)
                    renewed(Id, Order, SentAt, Report);
                });
}

void PoolOwner::renewed(const WorkerId &Id, const RenewOrder &Order,
                        TimePoint SentAt, const WorkerReport &Report) {
  TimePoint Now = Clock.now();
  Renewal &Its = Renewals[Id];
  Its.Out = false;
  bool Heard = Report.Result == OrderResult::Done;
  if (Heard)
    Its.AcknowledgedTo = Order.Acknowledged;
  Duration Pause = Heard ? Duration::zero() : Limits.SilentRetry;
  Scheduler->workerReported(Id, Report, SentAt, Now);
  auto State = Scheduler->renewalState(Id);
  if (!State) {
    Renewals.erase(Id);
  } else {
    // A worker that started anew counts its ends anew.
    if (Its.AcknowledgedTo > State->Acknowledged)
      Its.AcknowledgedTo = 0;
    if (Heard && State->HasOpenEnds)
      Pause = Limits.RenewalWait;
    Its.Next = Now + Pause;
  }
  if (!Heard || !Report.Ended.empty() || Scheduler->hasChanges())
    turnSoon();
  if (!State)
    return;
  if (Pause > Duration::zero())
    renewLater(Id, Pause);
  else
    renewIfDue(*State, Now);
}

void PoolOwner::removeFinalJobs() {
  TimePoint Now = Clock.now();
  for (auto At = FinalSince.begin(); At != FinalSince.end();) {
    auto Entry = At++;
    if (Now - Entry->second < Limits.KeepFinal ||
        !Scheduler->forget(Entry->first))
      continue;
    std::string Name = jobName(Entry->first);
    Transaction Changes;
    // The caller may just have come back, and the mark be replaced.
    if (StoreRevision Mark = Board.refusalMark(Entry->first);
        Mark != StoreRevision())
      Changes.Conditions.push_back({std::string(JobPrefix) + Name, Mark});
    for (std::string_view Prefix : {JobPrefix, StatusPrefix, CancelPrefix})
      Changes.Deletes.push_back(std::string(Prefix) + Name);
    // A removal that fails is tried again when the job is next seen as final.
    Store.commit(
        Changes, Limits.CommitTimeout,
        [this, Name](const TransactionResult &Result) {
          Log.write(
              LogLevel::Routine, "job.removed",
              {{"job", Name},
               {"done", Result.Status == CallStatus::Done ? "yes" : "no"}});
        });
    FinalSince.erase(Entry);
  }
}

} // namespace banyanworks::pool
