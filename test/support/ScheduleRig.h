/// \file
/// Defines ScheduleRig, one scheduler and its fake workers in virtual time,
/// with a link between them that may lose, repeat and delay messages.
#ifndef BANYANWORKS_TEST_SUPPORT_SCHEDULERIG_H
#define BANYANWORKS_TEST_SUPPORT_SCHEDULERIG_H

#include "base/Random.h"
#include "jobs/DomainScheduler.h"
#include "support/FakeWorker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace banyanworks::test {

/// What the link does to messages.
struct LinkFaults {
  double Loss = 0;
  double Duplication = 0;
  Duration MaxDelay = std::chrono::milliseconds(1);
};

/// The size and behaviour of a rig.
struct RigSettings {
  std::uint32_t Workers = 4;
  std::uint32_t WorkersPerRack = 8;
  Resources WorkerCapacity{32000, 131072, 8};
  std::vector<Workspace> Workspaces;
  SchedulerSettings Scheduler;
  FakeWorkerSettings Worker;
  LinkFaults Link;
  std::uint64_t Seed = 1;
  /// The permission to start lasts this long and is renewed twice a second.
  Duration PermissionDuration = std::chrono::seconds(2);
  bool RenewPermission = true;
};

/// A rig of \p Workers workers with one workspace, "alpha".
RigSettings smallRigSettings(std::uint32_t Workers);

/// A gang of \p Members with \p Accelerators each, in workspace "alpha".
JobSpec gang(std::uint32_t Members, std::int32_t Accelerators);

/// Drives one failure domain. It keeps the durable records of jobs, as the
/// store would, and checks the invariants after each step.
class ScheduleRig {
public:
  explicit ScheduleRig(RigSettings Settings);
  ~ScheduleRig();
  ScheduleRig(const ScheduleRig &) = delete;
  ScheduleRig &operator=(const ScheduleRig &) = delete;

  /// Submits a job that truly needs \p RunTime; returns its id.
  JobId submit(JobSpec Spec, Duration RunTime);
  void cancel(JobId Id);
  void runFor(Duration Span);

  /// Takes the domain out or in by a new configuration.
  void setDomainInService(bool In, DrainPolicy Drain = DrainPolicy::Checkpoint,
                          Duration Deadline = std::chrono::minutes(10));
  /// Changes the configuration and publishes it to the scheduler.
  void reconfigure(const std::function<void(Configuration &)> &Change);
  /// The owner is gone; workers hear nobody.
  void loseOwner();
  /// A new owner takes over under the next epoch.
  void gainOwner(bool RecordsComplete = true);
  /// The worker's process is gone for good; the session lapses.
  void killWorker(const WorkerId &Id);
  /// The worker cannot be reached, but runs on until its session lapses.
  void setWorkerPartitioned(const WorkerId &Id, bool Partitioned);
  /// A killed worker is back, empty.
  void reviveWorker(const WorkerId &Id);
  /// Sends the inventory of every reachable worker again.
  void sendInventories();

  DomainScheduler &scheduler() { return *Scheduler; }
  FakeWorker &worker(std::uint32_t Index) { return Hosts[Index].Worker; }
  WorkerId workerId(std::uint32_t Index) const;
  TimePoint now() const { return Now; }
  LinkFaults &link() { return Settings.Link; }
  bool &renewPermission() { return Settings.RenewPermission; }

  JobPhase phase(JobId Id) const;
  /// Members that run now, by the workers' word.
  int runningMembers(JobId Id) const;
  /// Successful ends of whole runs of the job.
  int completions(JobId Id) const;
  /// Orders that were given, of one alternative of JobAction.
  template <typename Order> std::uint64_t orderCount() const {
    return ActionCounts[JobAction(Order{}).index()];
  }
  /// Starts at workers after the last permission plus one answer timeout.
  std::uint32_t lateStarts() const { return LateStarts; }
  /// Descriptions of broken invariants; empty if all held.
  const std::vector<std::string> &violations() const { return Violations; }

private:
  struct Host {
    explicit Host(FakeWorker Worker) : Worker(std::move(Worker)) {}
    FakeWorker Worker;
    bool Dead = false;
    bool Partitioned = false;
    /// False once the scheduler was told that the session ended.
    bool Known = true;
    TimePoint LastContact;
    /// The session of the last inventory that arrived.
    Incarnation LastInventorySession;
    /// When it last died or was taken for lost.
    TimePoint LostAt = TimePoint::min();
    /// When it was last cut off.
    TimePoint PartitionedAt = TimePoint::min();
  };
  /// The successful end of one member.
  struct Success {
    WorkerId Worker;
    TimePoint At;
  };
  struct Message {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Deliver;
    bool operator>(const Message &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void sendMessage(const std::function<void()> &Deliver);
  void schedule(Duration Delay, std::function<void()> Deliver);
  void deliverEvent(const JobEvent &Event);
  void executeAction(const JobAction &Action);
  void sendReport(Host &From, const JobEvent &Event);
  template <typename Order, typename Method>
  void sendOrder(const Order &Action, Method Call);
  template <typename Answer, typename Order, typename Method>
  void sendAnsweredOrder(const Order &Action, Method Call);
  Host *findHost(const WorkerId &Id);
  void sendInventory(const Host &From);
  void heartbeat();
  void step(TimePoint At);
  void checkInvariants();
  void checkStart(const TaskId &Task);
  void checkGangComplete(JobId Id, std::uint64_t Run, std::uint32_t Running,
                         TimePoint PartitionedSince);
  void recordTaskEnd(const TaskEnded &Ended);

  RigSettings Settings;
  Random Rng;
  std::shared_ptr<Configuration> Config;
  std::unique_ptr<DomainScheduler> Scheduler;
  std::vector<Host> Hosts;
  std::map<WorkerId, std::uint32_t> HostIndex;
  TimePoint Now;
  TimePoint NextHeartbeat;
  TimePoint StartPermissionEnd = TimePoint::min();
  std::priority_queue<Message, std::vector<Message>, std::greater<>> Messages;
  std::uint64_t MessageCount = 0;
  bool HasOwner = false;
  Epoch Term{0};
  /// Grows with each change of owner; older orders and answers are lost.
  std::uint64_t OwnerGeneration = 0;
  std::uint64_t NextJob = 1;

  std::map<JobId, std::shared_ptr<const JobSpec>> Records;
  std::map<JobId, JobPhase> Phases;
  std::map<JobId, Duration> RunTimes;
  std::map<JobId, Duration> SavedRunTimes;
  std::map<std::pair<JobId, std::uint64_t>, std::map<std::uint32_t, Success>>
      Succeeded;
  std::map<JobId, int> Completed;
  std::map<std::pair<JobId, std::uint64_t>, TimePoint> PartialSince;
  std::array<std::uint64_t, std::variant_size_v<JobAction>> ActionCounts{};
  std::uint32_t LateStarts = 0;
  std::vector<std::string> Violations;
};

} // namespace banyanworks::test

#endif
