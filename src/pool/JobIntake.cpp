/// \file
/// Implements JobIntake.
#include "pool/JobIntake.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/Admission.h"
#include "pool/JobBoard.h"
#include "pool/JobName.h"
#include "pool/JobSpecJson.h"
#include "pool/StoreKeys.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

struct JobIntake::Creation {
  std::string Key;
  std::string Value;
  /// The mark that is replaced, if the job was turned away before.
  StoreRevision Replaces;
  JobId Job;
  Duration RetryAfter{};
  TimePoint Deadline;
  SubmitAnswer Done;
  /// True once a write may have taken effect without an answer.
  bool Uncertain = false;
  std::uint32_t Tries = 0;
};

struct JobIntake::StatusQuestion {
  JobId Job;
  /// The furthest status that is known; it never goes back.
  JobStatus Known = JobStatus::Queued;
  /// Empty once it is answered.
  StatusAnswer Done;
};

JobIntake::JobIntake(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                     const JobBoard &Board, const IntakeLimits &Limits)
    : Store(Store), Clock(Clock), Log(Log), Board(Board), Limits(Limits) {}

std::optional<Duration> JobIntake::admissionDelay(const JobSpec &Spec) const {
  const PoolLoad *Load = Board.load();
  if (!Load)
    return std::nullopt;
  auto Service = Load->Services.find(Spec.Terms.Service);
  if (Service == Load->Services.end())
    return std::nullopt;
  return pool::admissionDelay(Spec, Service->second);
}

void JobIntake::submit(const JobSpec &Spec, TimePoint Deadline,
                       SubmitAnswer Done) {
  if (const JobBoard::Entry *Known = Board.job(Spec.Id); Known && Known->Spec) {
    Log.write(
        LogLevel::Routine, "job.repeated",
        {{"job", jobName(Spec.Id)}, {"status", jobStatusName(Known->shown())}});
    Done(Reason::None, Duration::zero());
    return;
  }
  auto Write = std::make_shared<Creation>();
  Write->Key = std::string(JobPrefix) + jobName(Spec.Id);
  Write->Replaces = Board.refusalMark(Spec.Id);
  if (auto Wait = admissionDelay(Spec)) {
    Write->Value = RefusalMark;
    Write->RetryAfter = *Wait;
  } else {
    Write->Value = encodeJobSpec(Spec);
  }
  Write->Job = Spec.Id;
  Write->Deadline = Deadline - Limits.Margin;
  Write->Done = std::move(Done);
  create(Write);
}

void JobIntake::create(const std::shared_ptr<Creation> &Write) {
  Transaction Changes;
  Changes.Conditions.push_back({Write->Key, Write->Replaces});
  Changes.Puts.push_back({Write->Key, Write->Value, StoreLeaseId()});
  ++Write->Tries;
  Duration Left = Write->Deadline - Clock.now();
  Store.commit(Changes,
               std::clamp<Duration>(Left, Limits.Retry, Limits.CallTimeout),
               [this, Write](const TransactionResult &Result) {
                 created(Write, Result);
               });
}

void JobIntake::created(const std::shared_ptr<Creation> &Write,
                        const TransactionResult &Result) {
  auto Report = [&](Reason Outcome) {
    Log.write(Outcome == Reason::None ? LogLevel::Routine : LogLevel::Notice,
              "record.create",
              {{"key", Write->Key},
               {"job", jobName(Write->Job)},
               {"outcome", reasonInfo(Outcome).Name},
               {"revision", Result.Version.value()},
               {"retry_after_ms", Write->RetryAfter.count() / 1000},
               {"tries", Write->Tries}});
    Write->Done(Outcome, Write->RetryAfter);
  };
  switch (Result.Status) {
  case CallStatus::Done:
    Report(Write->Value == RefusalMark ? Reason::DeadlineUnreachable
                                       : Reason::None);
    return;
  case CallStatus::Rejected: {
    auto Found = std::find_if(Result.Current.begin(), Result.Current.end(),
                              [&Write](const StoreEntry &Entry) {
                                return Entry.Key == Write->Key &&
                                       Entry.Version != StoreRevision();
                              });
    if (Found == Result.Current.end() && Write->Replaces != StoreRevision()) {
      // The mark that was to be replaced has been removed meanwhile.
      Write->Replaces = StoreRevision();
      create(Write);
      return;
    }
    // The key exists: the job was accepted before, or turned away elsewhere.
    if (Found != Result.Current.end() && Found->Value == RefusalMark) {
      Write->RetryAfter = std::max(Write->RetryAfter, Limits.LeastRetryAfter);
      Report(Reason::DeadlineUnreachable);
      return;
    }
    Write->RetryAfter = Duration::zero();
    Report(Reason::None);
    return;
  }
  case CallStatus::NotApplied:
    if (Write->Uncertain)
      break;
    Report(Reason::StoreUnavailable);
    return;
  case CallStatus::Unknown:
    Write->Uncertain = true;
    break;
  }
  if (Clock.now() + Limits.Retry >= Write->Deadline) {
    Report(Reason::OutcomeUnknown);
    return;
  }
  Clock.schedule(Limits.Retry, [this, Write] { create(Write); });
}

void JobIntake::cancel(JobId Id, TimePoint Deadline, Answer Done) {
  const JobBoard::Entry *Known = Board.job(Id);
  if (Known && Known->Spec) {
    if (isFinal(Known->shown())) {
      Done(Reason::None);
      return;
    }
    writeCancel(Id, Deadline, std::move(Done));
    return;
  }
  lookUp(Id, [this, Id, Deadline, Done = std::move(Done)](Reason Outcome) {
    if (Outcome != Reason::None)
      Done(Outcome);
    else
      writeCancel(Id, Deadline, Done);
  });
}

void JobIntake::writeCancel(JobId Id, TimePoint Deadline, Answer Done) {
  auto Write = std::make_shared<Creation>();
  Write->Key = std::string(CancelPrefix) + jobName(Id);
  Write->Job = Id;
  Write->Deadline = Deadline - Limits.Margin;
  Write->Done = [Done = std::move(Done)](Reason Outcome, Duration) {
    Done(Outcome);
  };
  create(Write);
}

void JobIntake::status(JobId Id, StatusAnswer Done) {
  const JobBoard::Entry *Known = Board.job(Id);
  if (Known && Known->Spec) {
    // A job that has not started has not ended either; the little that the
    // watch lags behind is made up by the caller's next question.
    bool Waits = Known->shown() == JobStatus::Queued &&
                 Clock.now() - Board.watch().confirmedAt() < Limits.WatchTrust;
    if (isFinal(Known->shown()) || Waits ||
        StatusReads >= Limits.MostStatusReads) {
      Done(Reason::None, Known->shown());
      return;
    }
    auto Asked = std::make_shared<StatusQuestion>();
    Asked->Job = Id;
    Asked->Known = Known->shown();
    Asked->Done = std::move(Done);
    ++StatusReads;
    Clock.schedule(Limits.StatusSettle, [this, Asked] { readStatus(Asked); });
    Clock.schedule(Limits.StatusLimit, [this, Asked] { answerStatus(*Asked); });
    return;
  }
  lookUp(Id, [Done = std::move(Done)](Reason Outcome) {
    Done(Outcome, JobStatus::Queued);
  });
}

void JobIntake::readStatus(const std::shared_ptr<StatusQuestion> &Asked) {
  const JobBoard::Entry *Known = Board.job(Asked->Job);
  if (Known && isFinal(Known->shown())) {
    answerStatus(*Asked);
    return;
  }
  Store.read(std::string(StatusPrefix) + jobName(Asked->Job),
             [this, Asked](const ListResult &Result) {
               auto Read = std::make_optional(JobStatus::Queued);
               if (!Result.Entries.empty())
                 Read = parseJobStatus(Result.Entries.front().Value);
               if (Result.Status != CallStatus::Done || !Read) {
                 // What this daemon saw last is answered.
                 Log.write(LogLevel::Notice, "job.status.unread",
                           {{"job", jobName(Asked->Job)},
                            {"reason", Read ? "store" : "unknown status"}});
               } else {
                 Asked->Known = std::max(Asked->Known, *Read);
               }
               answerStatus(*Asked);
             });
}

void JobIntake::answerStatus(StatusQuestion &Asked) {
  if (!Asked.Done)
    return;
  --StatusReads;
  const JobBoard::Entry *Known = Board.job(Asked.Job);
  if (Known && Known->Spec)
    Asked.Known = std::max(Asked.Known, Known->shown());
  std::exchange(Asked.Done, nullptr)(Reason::None, Asked.Known);
}

void JobIntake::lookUp(JobId Id, std::function<void(Reason)> Done) {
  Store.read(std::string(JobPrefix) + jobName(Id),
             [this, Id, Done = std::move(Done)](const ListResult &Result) {
               Reason Outcome = Reason::None;
               if (Result.Status != CallStatus::Done)
                 Outcome = Reason::StoreUnavailable;
               else if (Result.Entries.empty() ||
                        Result.Entries.front().Value == RefusalMark)
                 Outcome = Reason::UnknownJob;
               Log.write(LogLevel::Routine, "job.looked_up",
                         {{"job", jobName(Id)},
                          {"outcome", reasonInfo(Outcome).Name},
                          {"revision", Result.AtRevision.value()}});
               Done(Outcome);
             });
}

} // namespace banyanworks::pool
