/// \file
/// Defines DomainScheduler, which schedules all jobs of one failure domain.
#ifndef BANYANWORKS_JOBS_DOMAINSCHEDULER_H
#define BANYANWORKS_JOBS_DOMAINSCHEDULER_H

#include "jobs/DomainCapacity.h"
#include "jobs/DomainDrain.h"
#include "jobs/JobEvents.h"
#include "jobs/JobQueue.h"
#include "jobs/JobTable.h"
#include "jobs/JobViews.h"
#include "jobs/OrderPolicy.h"
#include "jobs/RecoveryGate.h"
#include "jobs/Reservations.h"
#include "jobs/RunTimeEstimator.h"
#include "jobs/SchedulerSettings.h"
#include "jobs/TimerQueue.h"
#include "jobs/UsageMonitor.h"
#include "jobs/WorkerHealth.h"
#include "jobs/WorkerTracker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace banyanworks {

/// Schedules one failure domain as a deterministic state machine: takes
/// timestamped events and returns the actions to carry out. It acts only while
/// it owns the domain and starts tasks only under a valid start permission. Not
/// thread-safe; the caller serializes access.
class DomainScheduler {
public:
  /// \pre The policies named in \p Settings are registered.
  DomainScheduler(SchedulerSettings Settings, DomainId Id);

  /// Processes one event and returns the resulting actions. \p Now must not
  /// decrease between calls.
  std::vector<JobAction> handle(TimePoint Now, const JobEvent &Event);
  /// The time at which a Tick is due unless another event arrives earlier.
  TimePoint nextDeadline() const;

  DomainView domain() const;
  std::vector<JobView> jobs() const;
  std::optional<JobView> job(JobId Id) const;
  std::optional<JobExplanation> explain(JobId Id) const;
  std::vector<WorkerView> workers() const;
  std::vector<WorkspaceView> workspaces() const;
  FragmentationView fragmentation() const;

  /// Number of worker loss events; simultaneous losses within one rack count
  /// once.
  std::uint64_t lossEvents() const { return KnownWorkers.lossEvents(); }
  /// The capacity of the domain and its accounting, for invariant checks.
  const DomainCapacity &capacity() const { return Capacity; }

private:
  /// Members of a run that workers reported after a change of owner and that
  /// has not been adopted yet.
  struct ReportedRun {
    std::uint64_t Run = 0;
    std::map<std::uint32_t, GangMember> Members;
    Duration RunTime{};
  };
  /// A reclaim in progress for one job: the gangs being reclaimed and the
  /// workers kept for the job.
  struct Reclaim {
    std::set<JobId> Victims;
    std::vector<WorkerId> Workers;
  };

  void onEvent(const JobSubmitted &Event);
  void onEvent(const JobCancelled &Event);
  void onEvent(const WorkerJoined &Event);
  void onEvent(const WorkerDeparted &Event);
  void onEvent(const HoldAnswered &Event);
  void onEvent(const StartAnswered &Event);
  void onEvent(const TaskEnded &Event);
  void onEvent(const UsageReported &Event);
  void onEvent(const ConfigurationChanged &Event);
  void onEvent(const PermissionRenewed &Event);
  void onEvent(const OwnershipGained &Event);
  void onEvent(const OwnershipLost &Event);
  void onEvent(const RecordsCompleted &Event);
  void onEvent(const OutcomeRecorded &Event);
  void onEvent(const Tick &Event);

  GangContext context();
  TimePoint startPermittedUntil() const;

  // Job lifecycle.
  void admit(Job &Target);
  Reason refusalReason(const JobSpec &Spec);
  void enqueue(Job &Target);
  void dequeue(Job &Target);
  void startGang(Job &Target, const PlacementResult &Placement,
                 bool UnderGuarantee);
  void applyGangStage(Job &Target);
  void finishRun(Job &Target);
  /// Tells the workers to discard the recorded ends of the run's members.
  void forgetTaskEnds(JobId Job, const GangStateMachine &Gang);
  void recordRunOutcome(Job &Target, const GangStateMachine &Gang);
  void finishFailed(Job &Target, const GangStateMachine &Gang);
  void requeue(Job &Target, Reason Cause, Duration Delay);
  void endJob(Job &Target, JobPhase Phase, Reason Cause);
  void setPhase(Job &Target, JobPhase Phase, Reason Cause);
  void setTimer(Job &Target);
  void runTimers();
  QueueKey queueKey(const Job &Target) const;

  // Passes over the queue.
  void runPassIfDue();
  void runPass();
  void runReclaimedPass();
  void runGuaranteedPass();
  void runSharedPass();
  bool tryStart(Job &Target, bool Guaranteed);
  PlacementResult placeAvoidingReservations(Job &Target,
                                            GangRequest &Request) const;
  bool evictFromReserved(Job &Target);
  void checkpointVictims(JobId Beneficiary, const std::vector<JobId> &Victims);
  bool pinIfNeeded(Job &Target, GangRequest &Request,
                   PlacementResult &Placement);
  TimePoint expectedEnd(const TaskId &Task) const;
  void reserve(const Job &Target, const GangRequest &Request);
  bool tryReclaim(Job &Target, const GangRequest &Request);
  bool quotaAllows(const JobSpec &Spec) const;
  double fairShareRatio(const WorkspaceId &Workspace) const;
  void setWaitReason(Job &Target, Reason Cause);
  void trackBorrowingJob(const Job &Target);
  std::vector<RunningGang> reclaimableGangs() const;
  void onVictimEnded(JobId Victim);
  void dropReclaim(JobId Beneficiary);

  // Housekeeping, drains and configuration changes.
  void runHousekeeping();
  void applyDrain();
  void drainGangs(bool Stop, bool SkipUncheckpointable);
  void refuseUnschedulable();
  TimePoint housekeepingDeadline() const;

  // Recovery and reconciliation with inventories.
  void stepDown();
  void reconcile(const WorkerInventory &Inventory);
  void reconcileListedTask(const WorkerId &Worker, const ActiveTask &Task);
  void reconcileEndedTask(const WorkerId &Worker, const EndedTask &Task);
  void reconcileMissingTasks(const WorkerInventory &Inventory);
  Job *addRecoveredJob(const std::shared_ptr<const JobSpec> &Spec);
  void addReportedMember(const TaskId &Task, GangMember Member,
                         Duration RunTime);
  void resolveReportedRun(Job &Target);
  void tryFinishRecovery();
  void endOrphanMember(const GangMember &Member, const TaskId &Task);
  void endOrphan(const WorkerId &Worker, const TaskId &Task, TaskPhase Phase);

  JobView view(const Job &Target) const;

  SchedulerSettings Settings;
  DomainId Id;
  std::unique_ptr<OrderPolicy> QueueOrder;
  DomainCapacity Capacity;
  JobTable Jobs;
  JobQueue Queue;
  TimerQueue<JobId> Timers;

  TimePoint Now;
  std::vector<JobAction> Actions;
  bool Owner = false;
  Epoch Term;
  RecoveryGate Recovery;
  bool Recovering = false;
  std::unordered_map<JobId, ReportedRun> ReportedRuns;
  std::unordered_map<WorkerId, Incarnation> Sessions;

  std::shared_ptr<const Configuration> Config;
  TimePoint StartPermissionEnd = TimePoint::min();
  DomainDrain Drain;
  /// Sum of the share weights of all workspaces.
  double TotalWeight = 0;

  RunTimeEstimator Estimator;
  WorkerHealth Health;
  WorkerTracker KnownWorkers;
  UsageMonitor OveruseMonitor;
  Reservations GangReservations;

  /// Active borrowing gangs with at least one member on a worker with
  /// accelerators; only these can be reclaimed.
  std::set<JobId> BorrowingJobs;
  std::unordered_set<JobId> ActiveJobs;
  std::map<JobId, Reclaim> Reclaims;
  std::unordered_map<JobId, JobId> BeneficiaryOf;
  bool PassNeeded = false;
  TimePoint LastPass = TimePoint::min();
  /// Time of the next pass over jobs that the last one left waiting; exclusions
  /// and reservations expire without an event.
  TimePoint NextRetry = TimePoint::max();
  std::uint32_t PassBudgetLeft = 0;
  /// Workers excluded for all gangs in the current pass.
  std::vector<WorkerId> PassExcluded;
  /// Shapes that did not fit since capacity was last released. Index 1 holds
  /// requests under a guarantee, index 0 all others.
  std::vector<JobShape> UnplaceableShapes[2];
  std::uint64_t UnplaceableVersion = 0;
};

} // namespace banyanworks

#endif
