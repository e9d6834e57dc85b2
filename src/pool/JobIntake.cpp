/// \file
/// Implements JobIntake.
#include "pool/JobIntake.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/Admission.h"
#include "pool/JobCache.h"
#include "pool/JobName.h"
#include "pool/JobSpecJson.h"
#include "pool/StoreHealth.h"
#include "pool/StoreKeys.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

struct JobIntake::PendingCreate {
  std::string Key;
  std::string Value;
  StoreLeaseId Lease;
  /// Revision of the refusal marker that is replaced; zero if the job was not
  /// rejected before.
  StoreRevision ReplacedVersion;
  JobId Job;
  /// The reason of a rejection. Only load makes a later attempt succeed, so
  /// another reason has no retry delay.
  Reason Refusal = Reason::DeadlineUnreachable;
  Duration RetryAfter{};
  TimePoint Deadline;
  /// Time from which a refusal marker is sent in place of an uncertain write.
  TimePoint RefuseAt = TimePoint::max();
  /// Empty once called.
  SubmitCallback Done;
  /// True once a copy has failed that may still take effect.
  bool Uncertain = false;
  std::uint32_t CopiesInFlight = 0;
  std::uint32_t Attempts = 0;

  bool marksCancel() const { return Value == CancelMark; }
};

struct JobIntake::StatusRequest {
  JobId Job;
  /// The most advanced status known; it never moves back.
  JobStatus KnownStatus = JobStatus::Queued;
  /// Empty once called.
  StatusCallback Done;
};

JobIntake::JobIntake(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                     const JobCache &KnownJobs, const StoreHealth *Health,
                     const IntakeLimits &Limits)
    : Store(Store), Clock(Clock), Log(Log), KnownJobs(KnownJobs),
      Health(Health), Limits(Limits) {}

std::optional<Duration> JobIntake::estimateAdmissionDelay(const JobSpec &Spec) {
  std::erase_if(UnseenJobs, [this](const auto &Item) {
    const JobCache::Entry *Job = KnownJobs.findJob(Item.first);
    return (Job && Job->Spec) || Item.second.ExpiresAt < Clock.now();
  });
  const PoolLoad *Load = KnownJobs.load();
  if (!Load)
    return std::nullopt;
  auto Service = Load->Services.find(Spec.Terms.Service);
  if (Service == Load->Services.end())
    return std::nullopt;
  ServiceLoad Current = Service->second;
  // Owners of earlier versions publish neither of these.
  if (Limits.AddsAcceptedJobs && Load->Covers != StoreRevision() &&
      Current.Usable != Resources())
    addAcceptedJobs(Spec, Current);
  return pool::admissionDelay(Spec, Current);
}

void JobIntake::addAcceptedJobs(const JobSpec &Spec, ServiceLoad &Load) const {
  auto Add = [&](const JobSpec &Accepted) {
    if (Accepted.Terms.Service == Spec.Terms.Service && Accepted.Id != Spec.Id)
      addAcceptedJob(Load, Accepted);
  };
  for (const auto &[Revision, Id] : KnownJobs.acceptedSinceLoad()) {
    const JobCache::Entry *Job = KnownJobs.findJob(Id);
    if (Job && Job->Spec && !isFinal(Job->visibleStatus()))
      Add(*Job->Spec);
  }
  for (const auto &Item : UnseenJobs)
    Add(Item.second.Spec);
}

void JobIntake::submit(const JobSpec &Spec, TimePoint Deadline, Reason Refusal,
                       SubmitCallback Done) {
  if (const JobCache::Entry *KnownJob = KnownJobs.findJob(Spec.Id);
      KnownJob && KnownJob->Spec) {
    Log.write(LogLevel::Routine, "job.repeated",
              {{"job", jobName(Spec.Id)},
               {"status", jobStatusName(KnownJob->visibleStatus())}});
    Done(Reason::None, Duration::zero());
    return;
  }
  if (KnownJobs.cancelMarkedAt(Spec.Id)) {
    Done(Reason::JobCancelled, Duration::zero());
    return;
  }
  auto Write = std::make_shared<PendingCreate>();
  Write->Key = std::string(JobPrefix) + jobName(Spec.Id);
  Write->ReplacedVersion = KnownJobs.refusalRevision(Spec.Id);
  if (Refusal != Reason::None) {
    Write->Value = RefusalMarker;
    Write->Refusal = Refusal;
  } else if (auto Delay = estimateAdmissionDelay(Spec)) {
    Write->Value = RefusalMarker;
    Write->RetryAfter = *Delay;
  } else {
    Write->Value = encodeJobSpec(Spec);
    if (Write->Value.size() > Limits.MaxValueBytes) {
      Done(Reason::InvalidArgument, Duration::zero());
      return;
    }
    UnseenJobs[Spec.Id] = {Spec, Deadline + Limits.MaxWatchAge};
  }
  Write->Job = Spec.Id;
  Write->Done = std::move(Done);
  unlessUnavailable(
      Spec.Id,
      [this, Write, Deadline] {
        startCreate(Write, Deadline, Write->Value != RefusalMarker);
      },
      [this, Write](Duration RetryAfter) {
        Write->RetryAfter = RetryAfter;
        finishCreate(*Write, Reason::StoreUnavailable, StoreRevision());
      });
}

void JobIntake::unlessUnavailable(
    JobId Id, std::function<void()> Work,
    std::function<void(Duration RetryAfter)> Reject) {
  if (!Health || Health->available(Clock.now())) {
    Work();
    return;
  }
  // After a pause of the process, answers may wait unread in the sockets. They
  // are received before the next iteration of the event loop.
  Clock.schedule(Duration::zero(), [this, Id, Work = std::move(Work),
                                    Reject = std::move(Reject)] {
    if (Health->available(Clock.now()))
      Work();
    else
      Reject(Health->retryAfter(Clock.now(), Id.value()));
  });
}

void JobIntake::startCreate(const std::shared_ptr<PendingCreate> &Write,
                            TimePoint Deadline, bool Refusable) {
  Write->Deadline =
      std::max(Deadline - Limits.ReplyMargin, Clock.now() + Limits.RetryDelay);
  Duration TimeLeft = Write->Deadline - Clock.now();
  if (Refusable)
    Write->RefuseAt =
        Write->Deadline - std::min(Limits.RefusalTime, TimeLeft / 2);
  create(Write);
}

void JobIntake::create(const std::shared_ptr<PendingCreate> &Write) {
  TimePoint Now = Clock.now();
  // Only a write that may have taken effect is superseded.
  bool Refuses =
      Now >= Write->RefuseAt && (Write->Uncertain || Write->CopiesInFlight > 0);
  Transaction Changes;
  Changes.Conditions.push_back({Write->Key, Write->ReplacedVersion});
  Changes.Puts.push_back({Write->Key,
                          Refuses ? std::string(RefusalMarker) : Write->Value,
                          Write->Lease});
  ++Write->Attempts;
  ++Write->CopiesInFlight;
  Store.commit(Changes,
               std::clamp<Duration>(Write->Deadline - Now, Limits.RetryDelay,
                                    Limits.CallTimeout),
               [this, Write, Version = Write->ReplacedVersion,
                Refuses](const TransactionResult &Result) {
                 createAnswered(Write, Version, Refuses, Result);
               });
  Duration Interval =
      Now >= Write->RefuseAt ? Limits.RefusalInterval : Limits.ResendInterval;
  if (Now < Write->RefuseAt && Now + Interval > Write->RefuseAt)
    Interval = Write->RefuseAt - Now;
  scheduleCopy(Write, Interval);
}

void JobIntake::scheduleCopy(const std::shared_ptr<PendingCreate> &Write,
                             Duration Delay) {
  if (Clock.now() + Delay >= Write->Deadline)
    return;
  Clock.schedule(Delay, [this, Write, Attempt = Write->Attempts] {
    if (Write->Done && Attempt == Write->Attempts)
      create(Write);
  });
}

void JobIntake::finishCreate(PendingCreate &Write, Reason Outcome,
                             StoreRevision Version) {
  Log.write(Outcome == Reason::None ? LogLevel::Routine : LogLevel::Notice,
            "record.create",
            {{"key", Write.Key},
             {"job", jobName(Write.Job)},
             {"outcome", reasonInfo(Outcome).Name},
             {"revision", Version.value()},
             {"retry_after_ms", Write.RetryAfter.count() / 1000},
             {"tries", Write.Attempts}});
  if (Outcome != Reason::None && Outcome != Reason::OutcomeUnknown)
    UnseenJobs.erase(Write.Job);
  std::exchange(Write.Done, nullptr)(Outcome, Write.RetryAfter);
}

void JobIntake::createAnswered(const std::shared_ptr<PendingCreate> &Write,
                               StoreRevision ReplacedVersion, bool RefusalSent,
                               const TransactionResult &Result) {
  --Write->CopiesInFlight;
  if (!Write->Done)
    return;
  auto RejectUnavailable = [&] {
    if (Health)
      Write->RetryAfter = Health->retryAfter(Clock.now(), Write->Job.value());
    finishCreate(*Write, Reason::StoreUnavailable, Result.Version);
  };
  switch (Result.Status) {
  case CallStatus::Done:
    if (RefusalSent) {
      RejectUnavailable();
    } else {
      finishCreate(*Write,
                   Write->Value == RefusalMarker || Write->marksCancel()
                       ? Write->Refusal
                       : Reason::None,
                   Result.Version);
    }
    return;
  case CallStatus::Rejected: {
    if (Result.LeaseGone) {
      Marks.leaseGone(Write->Lease);
      RejectUnavailable();
      return;
    }
    auto Found = std::find_if(Result.Current.begin(), Result.Current.end(),
                              [&Write](const StoreEntry &Entry) {
                                return Entry.Key == Write->Key &&
                                       Entry.Version != StoreRevision();
                              });
    if (Found == Result.Current.end() && ReplacedVersion != StoreRevision()) {
      // The refusal marker was removed in the meantime; other copies may have
      // shown it already.
      if (Write->ReplacedVersion == ReplacedVersion) {
        Write->ReplacedVersion = StoreRevision();
        create(Write);
      }
      return;
    }
    bool IsMark = Found != Result.Current.end() && Found->Value == CancelMark;
    if (Write->marksCancel() && Found != Result.Current.end() &&
        (IsMark || Found->Value == RefusalMarker)) {
      // A refused job may be handed in again, and an earlier mark may expire
      // too soon; both are replaced.
      if (Write->ReplacedVersion == ReplacedVersion) {
        Write->ReplacedVersion = Found->Version;
        create(Write);
      }
      return;
    }
    if (IsMark) {
      Write->RetryAfter = Duration::zero();
      finishCreate(*Write, Reason::JobCancelled, Result.Version);
      return;
    }
    // The key exists: the job was accepted earlier, or it was rejected by
    // another daemon or by an earlier copy of this refusal marker.
    if (Found != Result.Current.end() && Found->Value == RefusalMarker) {
      if (Write->Refusal == Reason::DeadlineUnreachable)
        Write->RetryAfter = std::max(Write->RetryAfter, Limits.MinRetryAfter);
      finishCreate(*Write, Write->Refusal, Result.Version);
      return;
    }
    Write->RetryAfter = Duration::zero();
    finishCreate(*Write, Reason::None, Result.Version);
    return;
  }
  case CallStatus::Invalid:
    Log.write(LogLevel::Notice, "record.refused", {{"key", Write->Key}});
    finishCreate(*Write, Reason::InvalidArgument, Result.Version);
    return;
  case CallStatus::NotApplied:
    break;
  case CallStatus::Unknown:
    Write->Uncertain = true;
    break;
  }
  if (Write->CopiesInFlight > 0)
    return;
  if (!Write->Uncertain) {
    RejectUnavailable();
    return;
  }
  if (Clock.now() + Limits.RetryDelay >= Write->Deadline)
    finishCreate(*Write, Reason::OutcomeUnknown, Result.Version);
  else
    scheduleCopy(Write, Limits.RetryDelay);
}

void JobIntake::cancel(JobId Id, TimePoint Deadline, Callback Done) {
  const JobCache::Entry *KnownJob = KnownJobs.findJob(Id);
  if (KnownJob && KnownJob->Spec && isFinal(KnownJob->visibleStatus())) {
    Done(Reason::None);
    return;
  }
  bool Known = KnownJob && KnownJob->Spec;
  auto Write = [this, Id, Deadline, Known, Done] {
    if (Known)
      writeCancel(Id, Deadline, Done);
    else
      cancelUnknown(Id, Deadline, Done);
  };
  unlessUnavailable(Id, Write, [Done = std::move(Done)](Duration) {
    Done(Reason::StoreUnavailable);
  });
}

void JobIntake::cancelUnknown(JobId Id, TimePoint Deadline, Callback Done) {
  TimePoint Now = Clock.now();
  if (auto MarkedAt = KnownJobs.cancelMarkedAt(Id);
      MarkedAt && Now - *MarkedAt < CancelMarks::RepeatTime) {
    Done(Reason::UnknownJob);
    return;
  }
  if (!Marks.admit(Now)) {
    lookUpInStore(Id, [this, Id, Deadline, Done](Reason Outcome) {
      if (Outcome == Reason::None)
        writeCancel(Id, Deadline, Done);
      else
        Done(Outcome == Reason::UnknownJob ? Reason::RateLimited : Outcome);
    });
    return;
  }
  withMarkLease([this, Id, Deadline,
                 Done = std::move(Done)](std::optional<StoreLeaseId> Lease) {
    if (Lease)
      writeCancelMark(Id, *Lease, Deadline, Done);
    else
      Done(Reason::StoreUnavailable);
  });
}

void JobIntake::withMarkLease(
    std::function<void(std::optional<StoreLeaseId> Lease)> Work) {
  if (auto Lease = Marks.lease(Clock.now())) {
    Work(Lease);
    return;
  }
  LeaseWaiters.push_back(std::move(Work));
  if (LeaseWaiters.size() > 1)
    return;
  TimePoint SentAt = Clock.now();
  Store.grantLease(
      CancelMarks::LeaseTime, [this, SentAt](const LeaseResult &Result) {
        std::optional<StoreLeaseId> Granted;
        if (Result.Status == CallStatus::Done) {
          Granted = Result.Lease;
          Marks.leaseGranted(Result.Lease, Result.TimeToLive, SentAt);
        }
        for (const auto &Waiter : std::exchange(LeaseWaiters, {}))
          Waiter(Granted);
      });
}

void JobIntake::writeCancelMark(JobId Id, StoreLeaseId Lease,
                                TimePoint Deadline, Callback Done) {
  auto Write = std::make_shared<PendingCreate>();
  Write->Key = std::string(JobPrefix) + jobName(Id);
  Write->Value = CancelMark;
  Write->Lease = Lease;
  Write->ReplacedVersion = KnownJobs.refusalRevision(Id);
  Write->Job = Id;
  Write->Refusal = Reason::UnknownJob;
  Write->Done = [this, Id, Deadline, Done = std::move(Done)](Reason Outcome,
                                                             Duration) {
    // The job has been accepted.
    if (Outcome == Reason::None)
      writeCancel(Id, Deadline, Done);
    else
      Done(Outcome);
  };
  startCreate(Write, Deadline, /*Refusable=*/false);
}

void JobIntake::writeCancel(JobId Id, TimePoint Deadline, Callback Done) {
  auto Write = std::make_shared<PendingCreate>();
  Write->Key = std::string(CancelPrefix) + jobName(Id);
  Write->Job = Id;
  Write->Done = [Done = std::move(Done)](Reason Outcome, Duration) {
    Done(Outcome);
  };
  startCreate(Write, Deadline, /*Refusable=*/false);
}

void JobIntake::status(JobId Id, StatusCallback Done) {
  const JobCache::Entry *KnownJob = KnownJobs.findJob(Id);
  if (KnownJob && KnownJob->Spec) {
    // A queued job has not ended. If the watch lags behind, the caller's next
    // status request catches up.
    bool StillQueued =
        KnownJob->visibleStatus() == JobStatus::Queued &&
        Clock.now() - KnownJobs.watch().confirmedAt() < Limits.MaxWatchAge;
    if (isFinal(KnownJob->visibleStatus()) || StillQueued ||
        StatusReadsInFlight >= Limits.MaxStatusReads) {
      Done(Reason::None, KnownJob->visibleStatus());
      return;
    }
    auto Request = std::make_shared<StatusRequest>();
    Request->Job = Id;
    Request->KnownStatus = KnownJob->visibleStatus();
    Request->Done = std::move(Done);
    ++StatusReadsInFlight;
    Clock.schedule(Limits.StatusReadDelay,
                   [this, Request] { readStatus(Request); });
    Clock.schedule(Limits.StatusTimeout,
                   [this, Request] { answerStatus(*Request); });
    return;
  }
  lookUpInStore(Id, [Done = std::move(Done)](Reason Outcome) {
    Done(Outcome, JobStatus::Queued);
  });
}

void JobIntake::readStatus(const std::shared_ptr<StatusRequest> &Request) {
  const JobCache::Entry *KnownJob = KnownJobs.findJob(Request->Job);
  if (KnownJob && isFinal(KnownJob->visibleStatus())) {
    answerStatus(*Request);
    return;
  }
  Store.read(std::string(StatusPrefix) + jobName(Request->Job),
             [this, Request](const ListResult &Result) {
               auto StoredStatus = std::make_optional(JobStatus::Queued);
               if (!Result.Entries.empty())
                 StoredStatus = parseJobStatus(Result.Entries.front().Value);
               if (Result.Status != CallStatus::Done || !StoredStatus) {
                 // Answers with the status that this daemon saw last.
                 Log.write(LogLevel::Notice, "job.status.unread",
                           {{"job", jobName(Request->Job)},
                            {"reason",
                             StoredStatus ? "store" : "unknown job status"}});
               } else {
                 Request->KnownStatus =
                     std::max(Request->KnownStatus, *StoredStatus);
               }
               answerStatus(*Request);
             });
}

void JobIntake::answerStatus(StatusRequest &Request) {
  if (!Request.Done)
    return;
  --StatusReadsInFlight;
  const JobCache::Entry *KnownJob = KnownJobs.findJob(Request.Job);
  if (KnownJob && KnownJob->Spec)
    Request.KnownStatus =
        std::max(Request.KnownStatus, KnownJob->visibleStatus());
  std::exchange(Request.Done, nullptr)(Reason::None, Request.KnownStatus);
}

void JobIntake::lookUpInStore(JobId Id, std::function<void(Reason)> Done) {
  Store.read(std::string(JobPrefix) + jobName(Id),
             [this, Id, Done = std::move(Done)](const ListResult &Result) {
               Reason Outcome = Reason::None;
               if (Result.Status != CallStatus::Done)
                 Outcome = Reason::StoreUnavailable;
               else if (Result.Entries.empty() ||
                        Result.Entries.front().Value == RefusalMarker ||
                        Result.Entries.front().Value == CancelMark)
                 Outcome = Reason::UnknownJob;
               Log.write(LogLevel::Routine, "job.looked_up",
                         {{"job", jobName(Id)},
                          {"outcome", reasonInfo(Outcome).Name},
                          {"revision", Result.AtRevision.value()}});
               Done(Outcome);
             });
}

} // namespace banyanworks::pool
