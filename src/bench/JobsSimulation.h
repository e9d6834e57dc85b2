/// \file
/// Defines JobsSimulation, which drives the scheduler of each failure domain in
/// virtual time from a seeded list of jobs. Workers respond after 1 ms.
#ifndef BANYANWORKS_BENCH_JOBSSIMULATION_H
#define BANYANWORKS_BENCH_JOBSSIMULATION_H

#include "bench/JobsWorkload.h"
#include "jobs/DomainScheduler.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace banyanworks::bench {

/// Results of one simulation. Work is counted in accelerator seconds.
struct JobsReport {
  std::vector<double> CompletionSeconds;
  std::size_t Unfinished = 0;
  std::size_t Failed = 0;
  std::size_t Refused = 0;
  /// Jobs covered by an unused guarantee on submission, and those of them that
  /// did not start within the checkpoint grace plus 3.5 s.
  std::size_t GuaranteedRequests = 0;
  std::size_t GuaranteedMisses = 0;
  /// Events that were delivered to schedulers.
  std::size_t Steps = 0;
  /// Steps after which the packing of all guarantees was checked.
  std::size_t CheckedSteps = 0;
  std::size_t UnpackableSteps = 0;
  /// Work that ran, and work lost to reclaim or drain.
  double WorkDone = 0;
  double WorkLost = 0;
  /// While a domain is out of service: work that ran, and work that could have
  /// run, in the domains in service.
  double OutageWorkDone = 0;
  double OutageWorkPossible = 0;
  std::size_t StartsOutOfService = 0;
  std::size_t MaxQuarantined = 0;
};

/// Wall time of decisions in seconds, by kind of event.
struct SchedulerTimes {
  std::vector<double> SingleTask;
  std::vector<double> Gang128;
  std::vector<double> All;
};

/// One simulation of a deployment under one set of policies.
class JobsSimulation {
public:
  JobsSimulation(const Deployment &Cluster, const SchedulerSettings &Settings);

  /// Runs until all jobs have ended, or until \p TimeLimit after the last
  /// arrival.
  JobsReport run(const std::vector<SimulatedJob> &Jobs, Duration TimeLimit);
  const SchedulerTimes &times() const { return Times; }

private:
  struct DomainState {
    std::unique_ptr<DomainScheduler> Scheduler;
    WorkerId FaultyWorker;
    bool InService = true;
    std::int64_t Accelerators = 0;
    std::int64_t MilliCores = 0;
    /// Demand of the jobs routed to this domain that have not ended.
    double AcceleratorDemand = 0;
    double CoreDemand = 0;
    std::int64_t BusyAccelerators = 0;
    TimePoint TickAt = TimePoint::max();
  };
  struct JobEntry {
    const SimulatedJob *Job = nullptr;
    std::uint32_t DomainIndex = 0;
    Duration SavedRunTime{};
    bool Ended = false;
    /// Set while the job waits and the unused guarantee covered it on
    /// submission.
    bool GuaranteeRequested = false;
    TimePoint RequestedAt;
    std::uint32_t Starting = 0;
  };
  struct RunningTask {
    TimePoint StartedAt;
    WorkerId Worker;
    /// Distinguishes the starts of one task.
    std::uint64_t Serial = 0;
  };
  struct Event {
    TimePoint At;
    std::uint64_t Sequence = 0;
    std::function<void()> Callback;
    bool operator>(const Event &Other) const {
      return std::tie(At, Sequence) > std::tie(Other.At, Other.Sequence);
    }
  };

  void schedule(TimePoint At, std::function<void()> Callback);
  void deliver(std::uint32_t Index, const JobEvent &Event);
  void perform(std::uint32_t Index, const JobAction &Action);
  void onStart(std::uint32_t Index, const StartTask &Order);
  void endTask(std::uint32_t Index, const TaskId &Task, TaskEnd End);
  void onProgress(std::uint32_t Index, const JobProgressed &Progress);
  void submit(const SimulatedJob &Job);
  void route(JobEntry &Target);
  void removeDemand(JobEntry &Target);
  void rerouteWaiting(std::uint32_t Index);
  void setInService(bool InService);
  void accountOutage();
  void checkPacking(std::uint32_t Index);
  double demandOf(const JobEntry &Target) const;

  const Deployment &Cluster;
  SchedulerSettings Settings;
  std::vector<DomainState> Domains;
  std::shared_ptr<Configuration> Config;
  std::unordered_map<JobId, JobEntry> Entries;
  std::map<std::pair<std::uint32_t, TaskId>, RunningTask> Tasks;
  std::uint64_t StartCount = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t EventCount = 0;
  TimePoint Now;
  TimePoint AccountedUntil;
  std::size_t OpenJobs = 0;
  bool Outage = false;
  JobsReport Report;
  SchedulerTimes Times;
};

} // namespace banyanworks::bench

#endif
