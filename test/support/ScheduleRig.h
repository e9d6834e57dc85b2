/// \file
/// Defines ScheduleRig, a test rig of one scheduler and its fake workers in
/// virtual time, connected by a link that may lose, duplicate and delay
/// messages.
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

/// Faults of the link: probabilities of loss and duplication, and the maximum
/// delay.
struct LinkFaults {
  double Loss = 0;
  double Duplication = 0;
  Duration MaxDelay = std::chrono::milliseconds(1);
};

/// Size and behaviour of a rig.
struct RigSettings {
  std::uint32_t Workers = 4;
  std::uint32_t WorkersPerRack = 8;
  Resources WorkerCapacity{32000, 131072, 8};
  std::vector<Workspace> Workspaces;
  SchedulerSettings Scheduler;
  FakeWorkerSettings Worker;
  LinkFaults Link;
  std::uint64_t Seed = 1;
  /// Duration of a start permission, which is renewed twice a second.
  Duration PermissionDuration = std::chrono::seconds(2);
  bool RenewPermission = true;
};

/// Settings of a rig with \p Workers workers and one workspace, "alpha".
RigSettings smallRigSettings(std::uint32_t Workers);

/// A gang of \p Members members with \p Accelerators accelerators each, in
/// workspace "alpha".
JobSpec gang(std::uint32_t Members, std::int32_t Accelerators);

/// Drives the scheduler of one failure domain. Keeps the durable records of
/// jobs in place of the store, and checks the invariants after each step.
class ScheduleRig {
public:
  explicit ScheduleRig(RigSettings Settings);
  ~ScheduleRig();
  ScheduleRig(const ScheduleRig &) = delete;
  ScheduleRig &operator=(const ScheduleRig &) = delete;

  /// Submits a job with an actual run time of \p RunTime and returns its id.
  JobId submit(JobSpec Spec, Duration RunTime);
  void cancel(JobId Id);
  void runFor(Duration Span);

  /// Takes the domain out of service or back by a new configuration.
  void setDomainInService(bool In, DrainPolicy Drain = DrainPolicy::Checkpoint,
                          Duration Deadline = std::chrono::minutes(10));
  /// Changes the configuration and publishes it to the scheduler.
  void reconfigure(const std::function<void(Configuration &)> &Change);
  /// Removes the owner; sessions of workers are no longer renewed.
  void loseOwner();
  /// Installs a new owner under the next epoch.
  void gainOwner(bool RecordsComplete = true);
  /// Kills the worker's process permanently; its session expires.
  void killWorker(const WorkerId &Id);
  /// Partitions the worker from the owner or reconnects it. Its tasks run until
  /// the session expires.
  void setWorkerPartitioned(const WorkerId &Id, bool Partitioned);
  /// Restarts a killed worker without tasks and reconnects a partitioned one.
  void reviveWorker(const WorkerId &Id);
  /// Sends the inventories of all reachable workers again.
  void sendInventories();

  DomainScheduler &scheduler() { return *Scheduler; }
  FakeWorker &worker(std::uint32_t Index) { return Hosts[Index].Worker; }
  WorkerId workerId(std::uint32_t Index) const;
  TimePoint now() const { return Now; }
  LinkFaults &link() { return Settings.Link; }
  bool &renewPermission() { return Settings.RenewPermission; }

  JobPhase phase(JobId Id) const;
  /// Number of members that run on the workers now.
  int runningMembers(JobId Id) const;
  /// Number of runs of the job in which all members succeeded.
  int completions(JobId Id) const;
  /// Number of actions returned by the scheduler, per alternative of JobAction.
  template <typename Order> std::uint64_t orderCount() const {
    return ActionCounts[JobAction(Order{}).index()];
  }
  /// Number of tasks started later than one answer timeout after the permission
  /// expired.
  std::uint32_t lateStarts() const { return LateStarts; }
  /// Descriptions of violated invariants; empty if all held.
  const std::vector<std::string> &violations() const { return Violations; }

private:
  struct Host {
    explicit Host(FakeWorker Worker) : Worker(std::move(Worker)) {}
    FakeWorker Worker;
    bool Dead = false;
    bool Partitioned = false;
    /// False once the scheduler was told that the session ended.
    bool InSession = true;
    TimePoint LastContact;
    /// Session of the last inventory that arrived.
    Incarnation LastInventorySession;
    /// Time at which the worker last was reported lost or was killed.
    TimePoint LostAt = TimePoint::min();
    /// Time at which the worker was last partitioned.
    TimePoint PartitionedAt = TimePoint::min();
  };
  /// Successful end of one member.
  struct Success {
    WorkerId Worker;
    TimePoint EndedAt;
  };
  struct Message {
    TimePoint DeliverAt;
    std::uint64_t Order = 0;
    std::function<void()> Deliver;
    bool operator>(const Message &Other) const {
      return std::tie(DeliverAt, Order) >
             std::tie(Other.DeliverAt, Other.Order);
    }
  };

  void sendMessage(const std::function<void()> &Deliver);
  void schedule(Duration Delay, std::function<void()> Deliver);
  void deliverEvent(const JobEvent &Event);
  void executeAction(const JobAction &Action);
  void sendReport(Host &Sender, const JobEvent &Event);
  template <typename Order, typename Method>
  void sendOrder(const Order &Action, Method Call);
  template <typename Answer, typename Order, typename Method>
  void sendAnsweredOrder(const Order &Action, Method Call);
  Host *findHost(const WorkerId &Id);
  void sendInventory(const Host &Sender);
  void heartbeat();
  void step(TimePoint NewTime);
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
  /// Increases with each change of owner; orders and answers of earlier
  /// generations are discarded.
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
