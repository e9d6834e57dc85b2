/// \file
/// Implements how a PoolOwner acquires the ownership of the pool, recovers the
/// state of earlier owners, and gives the ownership up.
#include "pool/PoolOwner.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/JobCache.h"
#include "pool/ProgressKey.h"
#include "pool/StoreKeys.h"
#include "pool/TakedownRecord.h"
#include "pool/WorkerLink.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

PoolOwner::PoolOwner(AsyncStore &Store, WorkerLink &Workers, Timers &Clock,
                     DecisionLog &Log, JobCache &KnownJobs, DaemonId Self,
                     const OwnerLimits &Limits, const PoolLimits &Scheduling,
                     std::uint64_t Seed)
    : Store(Store), Workers(Workers), Clock(Clock), Log(Log),
      KnownJobs(KnownJobs), Self(std::move(Self)), Limits(Limits),
      Scheduling(Scheduling), Generator(Seed),
      Horizon({Limits.LeaseTime, Limits.RenewWithoutStoreLimit,
               Limits.FullLeasesWithoutStore, Limits.MaxWorkerLease}),
      Pace(Limits.MaxPassInterval) {}

PoolOwner::~PoolOwner() = default;

void PoolOwner::start() {
  KnownJobs.setOwnerListener([this] { ownerChanged(); });
  KnownJobs.setJobListener([this](JobId Id) { jobChanged(Id); });
  scheduleElection(Duration::zero());
}

void PoolOwner::ownerChanged() {
  if (KnownJobs.owner() || Phase != Role::Follower)
    return;
  scheduleElection(Duration::zero());
}

void PoolOwner::scheduleElection(Duration Delay) {
  if (Retired || std::exchange(ElectionScheduled, true))
    return;
  auto Spread = static_cast<std::uint32_t>(Limits.ElectionSpread.count());
  Delay +=
      Limits.ElectionDelay + Duration(Generator.below(std::max(1U, Spread)));
  Clock.schedule(Delay, [this] {
    ElectionScheduled = false;
    if (Retired || Phase != Role::Follower)
      return;
    if (!KnownJobs.watch().complete()) {
      scheduleElection(Limits.ElectionRetry);
      return;
    }
    if (!KnownJobs.owner())
      acquire();
  });
}

void PoolOwner::acquire() {
  Phase = Role::Acquiring;
  std::uint64_t CallTerm = ++Term;
  TimePoint SentAt = Clock.now();
  Store.grantLease(Limits.LeaseTime, [this, CallTerm,
                                      SentAt](LeaseResult Granted) {
    if (CallTerm != Term)
      return;
    if (Granted.Status != CallStatus::Done) {
      Phase = Role::Follower;
      scheduleElection(Limits.ElectionRetry);
      return;
    }
    Ownership = Lease(Granted.Lease, Granted.TimeToLive, SentAt);
    Store.read(std::string(HeadKey), [this, CallTerm, SentAt,
                                      Id = Granted.Lease](ListResult Result) {
      if (CallTerm != Term)
        return;
      if (Result.Status != CallStatus::Done) {
        stepDown("cannot read the ownership head from the store");
        return;
      }
      claim(Id, Result.Entries.empty() ? StoreEntry() : Result.Entries.front(),
            SentAt);
    });
  });
}

std::string PoolOwner::nextHead() {
  return Self.str() + '/' + std::to_string(Token.value()) + '/' +
         std::to_string(Term) + '/' + std::to_string(++CommitCount) +
         std::string(Horizon.markerAt(Clock.now()));
}

void PoolOwner::claim(StoreLeaseId Lease, const StoreEntry &LastCommit,
                      TimePoint SentAt) {
  Horizon.startTakeover(LastCommit.Value);
  Transaction Changes;
  Changes.Conditions = {{std::string(OwnerKey), StoreRevision()},
                        {std::string(HeadKey), LastCommit.Version}};
  Changes.Puts = {{std::string(OwnerKey), Self.str(), Lease},
                  {std::string(HeadKey), nextHead(), StoreLeaseId()}};
  if (LastCommit.Version != StoreRevision() &&
      !LastCommit.Value.ends_with(LeaseBoundsMarker))
    Changes.Deletes.emplace_back(LeaseBoundsKey);
  std::uint64_t CallTerm = Term;
  Store.commit(Changes, Limits.CommitTimeout,
               [this, CallTerm, SentAt](const TransactionResult &Result) {
                 if (CallTerm != Term)
                   return;
                 if (Result.Status != CallStatus::Done) {
                   // The lease is revoked, and with it a claim that has yet to
                   // reach the store.
                   stepDown("store did not confirm the ownership claim");
                   return;
                 }
                 recordRenewal(SentAt);
                 ownershipAcquired(Result.Version);
               });
}

void PoolOwner::ownershipAcquired(StoreRevision Version) {
  Phase = Role::Recovering;
  Token = Epoch(Version.value());
  Head = Version;
  Horizon.takenOver(Clock.now());
  Workers.useToken(Token);
  Log.write(LogLevel::Change, "owner.acquired",
            {{"token", Token.value()},
             {"lease", Ownership.id().value()},
             {"earlier_leases_end_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  Horizon.earlierLeasesEndBy() - Clock.now())
                  .count()}});
  if (RoleChanged)
    RoleChanged(true);
  renewOwnership();
  recover();
}

void PoolOwner::recover() {
  // The claim fenced all earlier owners, so the records read now are complete.
  std::uint64_t CallTerm = Term;
  KnownJobs.watch().refresh([this, CallTerm] {
    if (CallTerm != Term)
      return;
    Store.list(std::string(OwnerPrefix),
               [this, CallTerm](const ListResult &Result) {
                 if (CallTerm != Term)
                   return;
                 if (Result.Status != CallStatus::Done) {
                   Clock.schedule(Limits.ElectionRetry, [this, CallTerm] {
                     if (CallTerm == Term)
                       recover();
                   });
                   return;
                 }
                 restoreJobs(Result.Entries);
               });
  });
}

void PoolOwner::restoreJobs(const std::vector<StoreEntry> &Records) {
  Scheduler = std::make_unique<PoolScheduler>(Scheduling, Log);
  Scheduler->observe(Observer);
  if (Configuration)
    Scheduler->configure(*Configuration);
  Scheduler->setDomainsOutOfService(DomainsOutOfService);
  for (const auto &Entry : Directory)
    Scheduler->updateWorker(Entry.second, Clock.now());
  if (Cordoned)
    Scheduler->setCordoned(*Cordoned, Evacuating);
  std::map<JobId, JobProgress> Restored;
  for (const StoreEntry &Record : Records) {
    if (Record.Key == LeaseBoundsKey)
      restoreLeaseBounds(Record.Value);
    if (Record.Key == TakedownKey && !Cordoned)
      restoreCordons(Record.Value);
    if (Record.Key.starts_with(ProgressPrefix))
      restorePart(Record, Restored);
  }
  for (auto &[Id, Progress] : Restored) {
    const JobCache::Entry &Job = *KnownJobs.findJob(Id);
    Scheduler->restore(*Job.Spec, Job.Status, std::move(Progress), Clock.now());
  }
  Phase = Role::Owner;
  RecoveredAt = Clock.now();
  for (const auto &Entry : KnownJobs.jobs())
    jobChanged(Entry.first);
  for (JobId Id : KnownJobs.refusedJobs())
    jobChanged(Id);
  Log.write(LogLevel::Change, "owner.recovered",
            {{"token", Token.value()},
             {"jobs", KnownJobs.jobs().size()},
             {"restored", Restored.size()},
             {"revision", KnownJobs.watch().revision().value()}});
  runPass();
}

void PoolOwner::restorePart(const StoreEntry &Record,
                            std::map<JobId, JobProgress> &Restored) {
  auto Ignore = [&](const std::string &Reason) {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Record.Key}, {"reason", Reason}});
  };
  auto Name = parseProgressKey(Record.Key);
  const JobCache::Entry *Job = Name ? KnownJobs.findJob(Name->Job) : nullptr;
  if (!Job || !Job->Spec) {
    Ignore("the job is not known");
    return;
  }
  // In the order of their keys, the first part precedes the others, which
  // replace what it may hold of them.
  auto Progress = Restored.try_emplace(Name->Job, *Job->Spec).first;
  if (Name->Part >= Progress->second.partCount()) {
    Ignore("the job has no such part");
    return;
  }
  auto Read = Progress->second.addPart(Name->Part, Record.Value);
  if (!Read)
    Ignore(Read.error().Message);
}

void PoolOwner::restoreLeaseBounds(const std::string &Stored) {
  auto Restored = Bounds.restore(Stored, Horizon.earlierLeasesEndBy(),
                                 Clock.now(), Clock.wallNow());
  if (!Restored) {
    Log.write(LogLevel::Change, "leases.ignored",
              {{"key", LeaseBoundsKey}, {"reason", Restored.error().Message}});
    return;
  }
  Log.write(LogLevel::Change, "leases.inherited",
            {{"token", Token.value()}, {"workers", Bounds.listed().size()}});
}

void PoolOwner::restoreCordons(const std::string &Stored) {
  auto Record = TakedownRecord::decode(Stored);
  if (Record)
    Scheduler->setCordoned(Record->workers(), {});
}

void PoolOwner::stepDown(std::string_view Reason) {
  if (Phase == Role::Follower)
    return;
  bool HeldOwnership = Phase >= Role::Recovering;
  ++Term;
  Phase = Role::Follower;
  Log.write(LogLevel::Change, "owner.stepped_down",
            {{"token", Token.value()}, {"reason", Reason}});
  if (Ownership.id() != StoreLeaseId()) {
    Store.endLease(Ownership.id(), [](const LeaseResult &) {
      // If the call fails, the lease expires.
    });
  }
  Ownership.reset();
  Scheduler.reset();
  Renewals.clear();
  Bounds = LeaseBounds();
  Cordoned.reset();
  Evacuating.clear();
  UnansweredListed = false;
  FinalJobs.clear();
  LoadPublishedAt = TimePoint();
  LastSweepAt = TimePoint();
  CommitInFlight = false;
  Isolation = CommitIsolation();
  AdviceInFlight = false;
  PassScheduled = false;
  PlacementScheduled = false;
  if (HeldOwnership && RoleChanged)
    RoleChanged(false);
  scheduleElection(Limits.ElectionRetry);
}

void PoolOwner::retire() {
  Retired = true;
  stepDown("shutting down");
}

void PoolOwner::recordRenewal(TimePoint SentAt) {
  RenewedAt = SentAt;
  Workers.limitLeases(Horizon.grantsEndBy(SentAt));
}

void PoolOwner::renewOwnership() {
  std::uint64_t CallTerm = Term;
  Clock.schedule(Limits.LeaseRenewal, [this, CallTerm] {
    if (CallTerm != Term)
      return;
    TimePoint SentAt = Clock.now();
    if (!mayActAt(SentAt)) {
      stepDown(NotRenewed);
      return;
    }
    Store.renewLease(
        Ownership.id(), [this, CallTerm, SentAt](LeaseResult Result) {
          if (CallTerm != Term)
            return;
          if (Result.Status == CallStatus::Rejected) {
            stepDown("store rejected the renewal of the ownership lease");
            return;
          }
          if (Result.Status == CallStatus::Done) {
            recordRenewal(SentAt);
            Ownership.recordRenewal(SentAt);
          }
          renewOwnership();
        });
  });
}

void PoolOwner::configure(const PoolConfiguration &NewConfiguration) {
  Configuration = NewConfiguration;
  if (!Scheduler)
    return;
  Scheduler->configure(NewConfiguration);
  schedulePass();
}

void PoolOwner::setDomainsOutOfService(std::set<DomainId> OutOfService) {
  DomainsOutOfService = std::move(OutOfService);
  if (!Scheduler)
    return;
  Scheduler->setDomainsOutOfService(DomainsOutOfService);
  schedulePass();
}

void PoolOwner::setCordoned(std::set<WorkerId> NewCordoned,
                            std::set<WorkerId> NewEvacuating) {
  Cordoned = std::move(NewCordoned);
  Evacuating = std::move(NewEvacuating);
  if (Scheduler)
    Scheduler->setCordoned(*Cordoned, Evacuating);
}

bool PoolOwner::holdsLease() const {
  return Phase >= Role::Recovering && Ownership.isValid(Clock.now());
}

bool PoolOwner::holdsRuns(const WorkerId &Id) const {
  if (Phase != Role::Owner)
    return true;
  auto State = Scheduler->renewalState(Id);
  return State && (State->HoldsRuns || State->HasUnrecordedEnds);
}

void PoolOwner::workerChanged(const WorkerId &Id, const PoolWorker *Entry) {
  if (Entry) {
    Directory[Id] = *Entry;
    Restarts.seen(Id, Entry->WorkerIncarnation, Clock.now());
  } else {
    Directory.erase(Id);
    Restarts.unlisted(Id, Clock.now());
  }
  if (!Scheduler)
    return;
  if (Entry)
    Scheduler->updateWorker(*Entry, Clock.now());
  else
    Scheduler->removeWorker(Id);
  schedulePass();
}

void PoolOwner::jobChanged(JobId Id) {
  if (Phase != Role::Owner)
    return;
  const JobCache::Entry *Job = KnownJobs.findJob(Id);
  if (KnownJobs.refusalRevision(Id) != StoreRevision()) {
    FinalJobs.emplace(Id, Clock.now());
    return;
  }
  // A refusal marker that a cancellation has replaced needs no removal.
  if (KnownJobs.cancelMarkedAt(Id))
    FinalJobs.erase(Id);
  if (!Job || !Job->Spec)
    return;
  Scheduler->submit(*Job->Spec, Job->visibleStatus());
  if (Job->Cancelled)
    Scheduler->cancel(Id);
  if (isFinal(Job->visibleStatus()))
    FinalJobs.emplace(Id, Clock.now());
  else
    FinalJobs.erase(Id);
  schedulePass();
}

} // namespace banyanworks::pool
