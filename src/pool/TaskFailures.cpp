/// \file
/// Implements TaskFailures.
#include "pool/TaskFailures.h"

#include <algorithm>
#include <set>

namespace banyanworks::pool {

namespace {

/// A step or task that failed on this many other workers is itself at fault.
constexpr std::size_t OtherWorkersToBlameJob = 2;

} // namespace

void TaskFailures::recordFailure(const WorkerId &Worker, const TaskKey &Task,
                                 bool StepCompletedTask, TimePoint Now) {
  Workers[Worker][Task] = Now;
  StepFailures &Step = Steps[stepOf(Task)];
  Step.CompletedTask = Step.CompletedTask || StepCompletedTask;
  Step.LastFailure = Now;
  std::pair<std::uint32_t, WorkerId> Failure(Task.Index, Worker);
  if (std::find(Step.Failures.begin(), Step.Failures.end(), Failure) ==
      Step.Failures.end())
    Step.Failures.push_back(std::move(Failure));
  if (Step.Failures.size() > MaxFailuresPerStep)
    Step.Failures.pop_front();
  if (Steps.size() <= MaxSteps)
    return;
  auto Oldest = std::min_element(
      Steps.begin(), Steps.end(), [](const auto &Left, const auto &Right) {
        return Left.second.LastFailure < Right.second.LastFailure;
      });
  Steps.erase(Oldest);
}

void TaskFailures::recordSuccess(const WorkerId &Worker, const TaskKey &Task) {
  auto Step = Steps.find(stepOf(Task));
  if (Step != Steps.end())
    Step->second.CompletedTask = true;
  auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return;
  std::erase_if(Found->second, [&Task](const auto &Entry) {
    return Entry.first.Job == Task.Job;
  });
}

void TaskFailures::expire(TimePoint Now) {
  for (auto &Entry : Workers) {
    std::erase_if(Entry.second, [Now](const auto &Failure) {
      return Now - Failure.second > WorkerWindow;
    });
  }
  std::erase_if(Workers,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(Steps, [Now](const auto &Entry) {
    return Now - Entry.second.LastFailure > StepWindow;
  });
}

bool TaskFailures::isFaultOfJob(const WorkerId &Worker,
                                const TaskKey &Task) const {
  auto Step = Steps.find(stepOf(Task));
  if (Step == Steps.end())
    return false;
  std::set<WorkerId> Others;
  for (const auto &[Index, Other] : Step->second.Failures) {
    if (Other != Worker &&
        (Index == Task.Index || !Step->second.CompletedTask) &&
        Others.insert(Other).second && Others.size() >= OtherWorkersToBlameJob)
      return true;
  }
  return false;
}

std::size_t TaskFailures::failedJobs(const WorkerId &Worker) const {
  auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return 0;
  // The entries are in the order of jobs.
  std::size_t Count = 0;
  JobId Counted;
  for (const auto &[Task, FailedAt] : Found->second) {
    if ((Count > 0 && Counted == Task.Job) || isFaultOfJob(Worker, Task))
      continue;
    ++Count;
    Counted = Task.Job;
  }
  return Count;
}

} // namespace banyanworks::pool
