/// \file
/// Defines DomainScheduler, the decisions about all jobs of one failure domain.
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

/// Schedules one failure domain: takes events with their time and returns what
/// is to be done. It acts only while it owns the domain and starts work only
/// under a permission that has not lapsed. Not thread-safe; each instance has
/// its own lock outside.
class DomainScheduler {
public:
  /// The policies named in \p Settings must be registered.
  DomainScheduler(SchedulerSettings Settings, DomainId Id);

  /// Takes one event. Times must not run backwards.
  std::vector<JobAction> handle(TimePoint Now, const JobEvent &Event);
  /// When a Tick is due, if no other event comes before.
  TimePoint nextDeadline() const;

  DomainView domain() const;
  std::vector<JobView> jobs() const;
  std::optional<JobView> job(JobId Id) const;
  std::optional<JobExplanation> explain(JobId Id) const;
  std::vector<WorkerView> workers() const;
  std::vector<WorkspaceView> workspaces() const;
  FragmentationView fragmentation() const;

  /// Losses of workers, those of one rack at one time counted once.
  std::uint64_t lossEvents() const { return KnownWorkers.lossEvents(); }
  /// The capacity and its account, for checks.
  const DomainCapacity &space() const { return Space; }

private:
  /// The members of a run that workers reported and that is not adopted yet.
  struct ReportedRun {
    std::uint64_t Run = 0;
    std::map<std::uint32_t, GangMember> Members;
    Duration Ran{};
  };
  /// Gangs that are being reclaimed for a job, and the workers it gets.
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

  // The life of a job.
  void admit(Job &Target);
  Reason refusalReason(const JobSpec &Spec);
  void enqueue(Job &Target);
  void dequeue(Job &Target);
  void startGang(Job &Target, const PlacementResult &Placement,
                 bool UnderGuarantee);
  void applyGangStage(Job &Target);
  void finishRun(Job &Target);
  /// Lets the workers forget how the members of a run ended.
  void forgetTaskEnds(JobId Job, const GangStateMachine &Gang);
  void recordRunOutcome(Job &Target, const GangStateMachine &Gang);
  void finishFailed(Job &Target, const GangStateMachine &Gang);
  void requeue(Job &Target, Reason Cause, Duration Wait);
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

  // What time and the configuration bring.
  void runHousekeeping();
  void applyDrain();
  void drainGangs(bool Stop, bool SkipUncheckpointable);
  void refuseUnschedulable();
  TimePoint housekeepingDeadline() const;

  // Recovery and inventories.
  void stepDown();
  void reconcile(const WorkerInventory &Inventory);
  void reconcileListedTask(const WorkerId &Worker, const HeldTask &Task);
  void reconcileEndedTask(const WorkerId &Worker, const EndedTask &Task);
  void reconcileMissingTasks(const WorkerInventory &Inventory);
  Job *addRecoveredJob(const std::shared_ptr<const JobSpec> &Spec);
  void addReportedMember(const TaskId &Task, GangMember Member, Duration Ran);
  void resolveReportedRun(Job &Target);
  void tryFinishRecovery();
  void endOrphanMember(const GangMember &Member, const TaskId &Task);
  void endOrphan(const WorkerId &Worker, const TaskId &Task, TaskPhase Phase);

  JobView view(const Job &Target) const;

  SchedulerSettings Settings;
  DomainId Id;
  std::unique_ptr<OrderPolicy> QueueOrder;
  DomainCapacity Space;
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
  /// The sum of the weights of all workspaces.
  double TotalWeight = 0;

  RunTimeEstimator Estimator;
  WorkerHealth Health;
  WorkerTracker KnownWorkers;
  UsageMonitor OveruseMonitor;
  Reservations Reserved;

  /// Active gangs on lent capacity that hold a part of a worker with
  /// accelerators: the only ones that a reclaim can hit.
  std::set<JobId> BorrowingJobs;
  std::unordered_set<JobId> ActiveJobs;
  std::map<JobId, Reclaim> Reclaims;
  std::unordered_map<JobId, JobId> BeneficiaryOf;
  bool PassNeeded = false;
  TimePoint LastPass = TimePoint::min();
  /// What a pass left waiting is looked at again by then, since exclusions
  /// and reservations pass with time.
  TimePoint NextRetry = TimePoint::max();
  std::uint32_t PassBudgetLeft = 0;
  /// Workers that no gang may use in the present pass.
  std::vector<WorkerId> PassExcluded;
  /// Shapes that did not fit since capacity last became free; the second
  /// vector is for requests under a guarantee.
  std::vector<JobShape> UnplaceableShapes[2];
  std::uint64_t UnplaceableVersion = 0;
};

} // namespace banyanworks

#endif
