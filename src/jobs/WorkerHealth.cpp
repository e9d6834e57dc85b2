/// \file
/// Implements the attribution of failures to workers and the quarantine.
#include "jobs/WorkerHealth.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A worker is quarantined above this weight of failures; a failure attributed
/// to it alone weighs 1.
constexpr double QuarantineThreshold = 2.0;

/// Failures older than this are ignored.
constexpr Duration MaxFailureAge = std::chrono::hours(1);

/// Duration of the first quarantine; doubles with each further one up to the
/// limit.
constexpr Duration InitialQuarantine = std::chrono::minutes(2);
constexpr Duration MaxQuarantine = std::chrono::hours(2);

/// At most one worker in this many may be excluded at the same time.
constexpr std::size_t WorkersPerQuarantine = 5;

} // namespace

double WorkerHealth::failureWeight(const FailureHistory &History,
                                   TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Job, FailedAt] : History.Failures) {
    if (Now - FailedAt > MaxFailureAge)
      continue;
    auto FailedWorkers = FailedWorkersByJob.find(Job);
    Sum += FailedWorkers == FailedWorkersByJob.end()
               ? 1.0
               : 1.0 / static_cast<double>(FailedWorkers->second.size());
  }
  return Sum;
}

void WorkerHealth::recordFailure(const WorkerId &Worker, JobId Job,
                                 TimePoint Now) {
  if (Worker.empty())
    return;
  FailedWorkersByJob[Job].insert(Worker);
  FailureHistory &History = Histories[Worker];
  std::erase_if(History.Failures, [Now](const auto &Entry) {
    return Now - Entry.second > MaxFailureAge;
  });
  History.Failures[Job] = Now;
  auto Found = Quarantines.find(Worker);
  if (Found != Quarantines.end() && Now >= Found->second.Until)
    return quarantine(Worker, Now);
  if (Found == Quarantines.end() &&
      failureWeight(History, Now) > QuarantineThreshold)
    quarantine(Worker, Now);
}

void WorkerHealth::recordRefusal(const WorkerId &Worker, JobId Job,
                                 TimePoint Now) {
  recordFailure(Worker, Job, Now);
}

void WorkerHealth::quarantine(const WorkerId &Worker, TimePoint Now) {
  auto [Found, Inserted] = Quarantines.try_emplace(Worker);
  Quarantine &Entry = Found->second;
  if (!Inserted)
    ++Entry.Count;
  constexpr std::uint32_t MaxDoublings = 10;
  Duration Wait =
      InitialQuarantine * (1U << std::min(Entry.Count - 1, MaxDoublings));
  Entry.Until = Now + std::min(Wait, MaxQuarantine);
  Entry.Probing = false;
}

void WorkerHealth::recordSuccess(const WorkerId &Worker, TimePoint Now) {
  auto Found = Quarantines.find(Worker);
  // A task that started before the quarantine does not end it by succeeding.
  if (Found != Quarantines.end() && Now < Found->second.Until)
    return;
  if (Found != Quarantines.end())
    Quarantines.erase(Found);
  Histories.erase(Worker);
}

void WorkerHealth::forgetJob(JobId Job) {
  auto Found = FailedWorkersByJob.find(Job);
  if (Found == FailedWorkersByJob.end())
    return;
  // A job that failed at several workers is considered the cause itself.
  bool JobAtFault = Found->second.size() > 1;
  if (JobAtFault) {
    for (const WorkerId &Worker : Found->second) {
      auto History = Histories.find(Worker);
      if (History != Histories.end())
        History->second.Failures.erase(Job);
    }
  }
  FailedWorkersByJob.erase(Found);
}

void WorkerHealth::forgetWorker(const WorkerId &Worker) {
  Histories.erase(Worker);
  Quarantines.erase(Worker);
}

void WorkerHealth::recordStart(const WorkerId &Worker) {
  auto Found = Quarantines.find(Worker);
  if (Found != Quarantines.end())
    Found->second.Probing = true;
}

void WorkerHealth::recordEnd(const WorkerId &Worker) {
  auto Found = Quarantines.find(Worker);
  if (Found != Quarantines.end())
    Found->second.Probing = false;
}

std::vector<WorkerId>
WorkerHealth::excludedWorkers(const JobSpec &Spec, TimePoint Now,
                              std::size_t WorkerCount) const {
  bool Small = Spec.Members == 1 && Spec.Urgency != Priority::Urgent;
  std::vector<WorkerId> Result;
  std::size_t MaxExcluded = WorkerCount / WorkersPerQuarantine;
  for (const auto &[Worker, Entry] : Quarantines) {
    if (Result.size() == MaxExcluded)
      break;
    bool MayProbe = Small && Now >= Entry.Until && !Entry.Probing;
    if (!MayProbe)
      Result.push_back(Worker);
  }
  return Result;
}

bool WorkerHealth::isQuarantined(const WorkerId &Worker) const {
  return Quarantines.contains(Worker);
}

TimePoint WorkerHealth::deadline(TimePoint Now) const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Worker, Entry] : Quarantines) {
    if (Entry.Until > Now)
      Next = std::min(Next, Entry.Until);
  }
  return Next;
}

} // namespace banyanworks
