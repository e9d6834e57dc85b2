/// \file
/// Defines PoolScheduler, which places the tasks of all jobs on the workers of
/// all services. Events drive the scheduler; it reads no clock.
#ifndef BANYANWORKS_POOL_POOLSCHEDULER_H
#define BANYANWORKS_POOL_POOLSCHEDULER_H

#include "pool/AdviceCache.h"
#include "pool/BestEffortThrottle.h"
#include "pool/FailedRequest.h"
#include "pool/GangReservation.h"
#include "pool/GuaranteeUse.h"
#include "pool/JobProgress.h"
#include "pool/OrdersInTransit.h"
#include "pool/OutageDetector.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolLoad.h"
#include "pool/PoolSpan.h"
#include "pool/PoolWorker.h"
#include "pool/ReclaimHolds.h"
#include "pool/ReclaimMemory.h"
#include "pool/ReclaimPlan.h"
#include "pool/ReclaimWaits.h"
#include "pool/ReportedLife.h"
#include "pool/ReserveAccess.h"
#include "pool/RunTable.h"
#include "pool/SilentLosses.h"
#include "pool/SlowdownDetector.h"
#include "pool/StopCost.h"
#include "pool/TaskFailures.h"
#include "pool/TaskPlacer.h"
#include "pool/UrgentReserve.h"
#include "pool/WorkerOrders.h"
#include "pool/WorkerSpeeds.h"
#include "pool/WorkspaceUsage.h"
#include "state/Store.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanworks {
class DecisionLog;
} // namespace banyanworks

namespace banyanworks::pool {

/// Limits of a PoolScheduler.
struct PoolLimits {
  /// Retry delay of an order without an answer: several round trips, so that
  /// only a lost answer is waited out.
  Duration OrderRetry = std::chrono::milliseconds(200);
  /// Time after which a gang with unanswered start orders is aborted; below the
  /// time for which members wait for each other at the workers.
  Duration GangStartTimeout = std::chrono::milliseconds(1800);
  /// Time for which a worker that refused a start order gets no more tasks.
  Duration RefusalPause = std::chrono::seconds(1);
  /// Time for which workers are kept free for an urgent job while their runs
  /// are stopped: the time a worker takes to stop a run, and a round trip.
  Duration ReclaimTime = std::chrono::milliseconds(1300);
  /// Longest time that a worker takes to stop a run.
  Duration StopTime = std::chrono::milliseconds(900);
  /// Time between two checkpoints of a task, and the time that a task takes to
  /// resume from one.
  Duration CheckpointInterval = std::chrono::milliseconds(500);
  Duration RestoreTime{};
  /// Lifetime of the reservation for a waiting gang; the estimates behind it
  /// are no more accurate than this.
  Duration ReservationLifetime = std::chrono::milliseconds(200);
  /// Interval at which best-effort tasks are told again to stop while a serving
  /// task beside them exceeds its target; well below the seconds for which this
  /// may last.
  Duration PaceRepeatInterval = std::chrono::seconds(1);
  /// Interval of the health check when no worker has changed; far below the
  /// seconds that a slowdown or a drain notice lasts.
  Duration HealthCheckInterval = std::chrono::milliseconds(100);
  /// Interval at which the urgent reserve is chosen again: a few passes, in
  /// which part of it may be taken.
  Duration ReserveInterval = std::chrono::milliseconds(20);
  /// Workers in one request to the adviser: enough for most gangs, while the
  /// response takes longer with each worker.
  std::size_t WorkersPerAdviceRequest = 30;
  /// Fraction of a workspace's cap by which a start may exceed it.
  double CapOverage = 0.0;
  /// Whether the speeds of workers are learned and used for placement.
  bool LearnSpeeds = true;
  /// Longest value that the store takes, and the bytes of progress in one
  /// commit, so that a commit stays short.
  std::size_t MaxValueBytes = MaxStoreValueBytes;
  std::size_t MaxCommitBytes = std::size_t{256} << 10;
  ReclaimMemoryLimits Reclaims;
  ReserveLimits Reserve;
};

/// A change of a job's durable state, to be recorded: one part of its progress.
struct JobChange {
  JobId Job;
  /// Number of changes of the job so far; passed back to committed().
  std::uint64_t Version = 0;
  /// The part of the progress.
  std::size_t Part = 0;
  /// The encoded part to store; empty to delete it.
  std::string Progress;
  /// The status to publish; only if it differs from the published one.
  std::optional<JobStatus> Status;
};

/// Orders to send now.
struct PoolOrders {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PaceOrder> Paces;
};

/// The state that decides on the renewal of a worker's lease.
struct RenewalState {
  /// Never null; the address is empty if the directory never listed the worker.
  const PoolWorker *Worker = nullptr;
  /// The worker did not answer its last renewal.
  bool Unresponsive = false;
  /// The worker has answered a renewal of this owner.
  bool HasReported = false;
  /// The worker may hold runs.
  bool HoldsRuns = false;
  /// A start order may still arrive there that another incarnation than the one
  /// it was sent to would carry out.
  bool AwaitsLateOrders = false;
  /// The worker holds ends that are not recorded and may not be acknowledged
  /// yet.
  bool HasUnrecordedEnds = false;
  /// Highest sequence number of the ends that the worker may forget.
  std::uint64_t Acknowledged = 0;
};

class PoolScheduler {
public:
  PoolScheduler(const PoolLimits &Limits, DecisionLog &Log);

  /// Sets the observer of the measured task intervals.
  void observe(SpanObserver Callback) { Observer = std::move(Callback); }

  void configure(const PoolConfiguration &NewConfiguration);
  /// Sets the failure domains in which nothing may start.
  void setDomainsOutOfService(std::set<DomainId> OutOfService);
  /// Sets the cordoned workers, which get no new tasks, and the subset of
  /// evacuating workers, whose running tasks are moved elsewhere.
  void setCordoned(std::set<WorkerId> Cordoned, std::set<WorkerId> Evacuating);
  void updateWorker(const PoolWorker &Worker, TimePoint Now);
  /// Handles a worker that the directory no longer lists; its runs are kept
  /// until they are known to have ended.
  void removeWorker(const WorkerId &Id);

  /// Adds an accepted job; has no effect if the job is known or final.
  void submit(const JobSpec &Spec, JobStatus Published);
  /// Restores a job from the record of an earlier owner.
  void restore(const JobSpec &Spec, JobStatus Published, JobProgress Progress,
               TimePoint Now);
  void cancel(JobId Id);
  /// Fails a job whose record the store refuses, without a record of its
  /// progress.
  void setAside(JobId Id);
  /// Removes a final job; false while the job is not final, has runs, or has
  /// unrecorded changes.
  bool removeJob(JobId Id);

  void workerReported(const WorkerId &Id, const WorkerReport &Report,
                      TimePoint SentAt, TimePoint Now);
  void startAnswered(const StartOrder &Order, OrderResult Result,
                     TimePoint Now);
  void stopAnswered(const StopOrder &Order, OrderResult Result, TimePoint Now);
  void paceAnswered(const PaceOrder &Order, OrderResult Result, TimePoint Now);
  /// Handles the expiry of all leases on the worker: its runs have ended.
  void leasesExpired(const WorkerId &Id, TimePoint Now);

  /// Sets whether the directory of workers is known to be current. Nothing
  /// starts while it is not.
  void setDirectoryCurrent(bool Current);

  /// Places the tasks that fit and returns the orders that are due.
  PoolOrders runPass(TimePoint Now, WallTime Wall);
  /// Returns the orders that are due, without placing tasks.
  PoolOrders dueOrders(TimePoint Now);

  /// The next request to the adviser; nothing if none is needed.
  const std::optional<AdviceRequest> &pendingAdvice() const {
    return PendingAdvice;
  }
  void adviceReceived(const AdviceRequest &Request,
                      const AdviceResponse &Response, TimePoint SentAt);

  /// Returns the changes to record, limited to \p MaxEntries store entries, one
  /// for each part of a job's progress and one for its status, and to
  /// PoolLimits::MaxCommitBytes. Ordered by what callers wait for: final
  /// statuses first, then urgent jobs, then the oldest changes. With \p Only,
  /// the changes of that job alone.
  std::vector<JobChange>
  changes(std::size_t MaxEntries,
          std::optional<JobId> Only = std::nullopt) const;
  bool hasChanges() const { return !Unrecorded.empty(); }
  /// Handles a commit: planned runs may now be ordered, and recorded ends
  /// acknowledged.
  void committed(const std::vector<JobChange> &Changes, TimePoint Now);

  /// The worker as last listed in the directory; null if the worker is unknown.
  const PoolWorker *worker(const WorkerId &Id) const;
  /// The renewal state of a worker; nothing if the worker is unknown.
  std::optional<RenewalState> renewalState(const WorkerId &Id) const;
  /// Visits all workers, including unlisted ones that still hold runs. The
  /// callback may call leasesExpired().
  void
  visitWorkers(const std::function<void(const RenewalState &)> &Visit) const;
  /// Returns and clears the set of workers whose renewal state has changed.
  std::set<WorkerId> takeRenewals() { return std::exchange(Renewals, {}); }
  /// Returns and clears whether reports have shown runs that are to be stopped
  /// at once.
  bool takeStopsDue() { return std::exchange(StopsDue, false); }
  /// True once a worker has reported a higher fencing token than this owner's.
  bool fenced() const { return Fenced; }
  /// Computes the accepted work that waits and runs.
  PoolLoad load(TimePoint Now);
  /// Resources that the runs of a workspace hold, as counted against its cap.
  Resources held(const WorkspaceId &Workspace) const {
    return Usage.held(Workspace);
  }
  /// Number of jobs that are neither final nor started.
  std::size_t waitingJobs() const;
  /// Number of tasks that are suspected to crash workers.
  std::size_t suspectedTasks() const;
  /// Number of tasks that this owner has given up because they crash workers.
  std::size_t tasksGivenUp() const { return TasksGivenUp; }
  /// Number of jobs that this owner has set aside.
  std::size_t jobsSetAside() const { return JobsSetAside; }
  /// Number of reclaims planned so far.
  std::uint64_t reclaimPlans() const { return Reclaims.plans(); }
  /// Number of listed workers by speed class.
  std::array<std::size_t, SpeedClasses> workersByClass() const;

private:
  /// What is stored of one part of a job's progress.
  struct RecordPart {
    /// Version of the job at the last change of the part, and at the last
    /// commit that held it.
    std::uint64_t ChangedAt = 0;
    std::uint64_t CommittedVersion = 0;
    bool Stored = false;

    bool isCurrent() const { return ChangedAt <= CommittedVersion; }
    /// Whether a change of the part at this version of the job is recorded.
    bool hasRecorded(std::uint64_t Version) const {
      return isCurrent() || CommittedVersion >= Version;
    }
  };
  struct Job {
    JobSpec Spec;
    JobProgress Progress;
    /// The status that is recorded and shown to callers.
    JobStatus PublishedStatus = JobStatus::Queued;
    JobStatus Status = JobStatus::Queued;
    std::uint64_t Version = 0;
    std::vector<RecordPart> Parts;
    /// The store refuses the record of the job.
    bool SetAside = false;
    /// Sequence number, among the changes of all jobs, of the first unrecorded
    /// change of this job.
    std::uint64_t FirstUnrecordedChange = 0;
    /// Current terms of the job's queue; never null.
    const QueueTerms *Terms = nullptr;
    /// Number of runs of the job that may still be on workers.
    std::uint32_t LiveRuns = 0;
    /// Number of groups without a run; the pass skips jobs that have none.
    std::size_t WaitingGroups = 0;
    /// The job's critical path in estimated run time, and the one from each
    /// step on.
    Duration CriticalPath{};
    std::vector<Duration> RemainingPaths;
  };
  /// A reported end that is not recorded yet.
  struct UnrecordedEnd {
    std::uint64_t Sequence = 0;
    JobId Owner;
    std::size_t Part = 0;
    std::uint64_t Version = 0;
    TimePoint ReceivedAt;
  };
  struct WorkerState {
    PoolWorker Info;
    bool Listed = false;
    /// Earliest time at which a draining worker may leave.
    TimePoint LeavesAt = TimePoint::max();
    bool Unresponsive = false;
    /// When the worker last became unresponsive.
    TimePoint SilentSince;
    bool HasReported = false;
    Incarnation WorkerIncarnation;
    ReportedLife Life;
    /// When the newest report was requested.
    TimePoint ReportRequestedAt;
    Resources Allocated;
    /// Index of the worker in AvailableWorkers, if listed there.
    std::optional<std::size_t> AvailableIndex;
    RunTable Runs;
    std::deque<UnrecordedEnd> UnrecordedEnds;
    std::uint64_t HighestEnd = 0;
    std::uint64_t Acknowledged = 0;
    TimePoint RefusedUntil;
    /// Jobs whose recent failures count against the worker.
    std::size_t FailedJobs = 0;
    /// Whether the last task that finished or failed on the worker has failed.
    bool LastTaskFailed = false;
    SlowdownDetector Slowdown;
    SpeedClass Speed = SpeedClass::Common;
    BestEffortThrottle Throttle;
    /// Whether the worker is slow or fails the tasks of several jobs; set by
    /// the health check.
    bool Suspect = false;
    /// Whether the worker is in the urgent reserve, which only urgent work may
    /// use.
    bool InReserve = false;
    /// Resources that are kept for urgent jobs while runs are stopped.
    ReclaimHolds Holds;
    /// The newest run of a suspected task; nothing else starts beside it until
    /// the suspicion is cleared.
    std::optional<RunKey> SuspectRun;
  };
  /// The waiting groups of one step of a job, with the criteria of their order.
  struct StepCandidate {
    Job *Owner = nullptr;
    /// The first waiting group.
    TaskGroup *FirstWaiting = nullptr;
    /// All waiting groups; listed only when a placement is attempted.
    std::vector<TaskGroup *> Groups;
    const StepSpec *Step = nullptr;
    const QueueTerms *Terms = nullptr;
    /// Latest start of the step with which its job meets its objective.
    WallTime LatestStart;
    /// 0 while the objective can be met, 1 while the job can end within
    /// MaxLatenessFactor times its objective, else 2.
    std::uint32_t Lateness = 0;
    /// Urgent work of a workspace whose demand is within its guarantee.
    bool Guaranteed = false;
    /// A single group that is suspected to crash workers.
    bool Suspected = false;
    /// The group waits for a worker without other runs, on a VM where it has
    /// lost none.
    bool Isolated = false;
    /// Time since the job was due.
    Duration WaitTime{};
    /// Time until LatestStart; negative if it is past.
    Duration Slack{};

    /// Whether the step is kept off risky workers: urgent, and not late.
    bool avoidsRisk() const { return Terms->Priority == 0 && Lateness == 0; }
    StepKey stepKey() const {
      return {Owner->Spec.Id, FirstWaiting->Occurrence, FirstWaiting->Step};
    }
  };
  /// Why the owner takes runs for lost with their worker.
  enum class LossCause : std::uint8_t {
    /// Another incarnation answers at the worker's address.
    Replaced,
    /// The worker reports another incarnation.
    Restarted,
    LeaseOver,
    /// The worker lives and does not list the run.
    NotReported,
  };
  struct GroupRef {
    Job *Owner = nullptr;
    TaskGroup *Group = nullptr;
  };
  /// What a stop of a group costs.
  struct StopAssessment {
    /// Cost of the stop of all members, in core seconds.
    double Cost = 0.0;
    /// Whether the group ends before a stop would take effect.
    bool EndsBeforeStop = false;
  };
  /// The workers and groups that a reclaim may use.
  struct ReclaimOptions {
    /// Runs that are forecast to end are not waited for.
    bool StopsOnly = false;
    std::vector<WorkerState *> States;
    std::vector<ReclaimWorker> Workers;
    std::vector<GroupRef> Groups;
    std::vector<ReclaimVictim> Victims;
    /// Index of each group in Groups.
    std::unordered_map<const TaskGroup *, std::size_t> Indices;
  };
  /// A worker that accepts tasks, with its free resources.
  struct AvailableWorker {
    WorkerState *Worker = nullptr;
    Resources Free;
  };

  GroupRef findGroup(const TaskKey &Task);
  void reportSpan(PoolSpan Span, Duration Elapsed) const {
    if (Observer)
      Observer(Span, Elapsed);
  }
  const QueueTerms &currentTerms(const JobSpec &Spec) const;
  /// Marks the job's status for recording.
  void markChanged(Job &Changed);
  /// Marks a group of the job for recording.
  void markChanged(Job &Changed, const TaskGroup &Group);
  /// The record that holds a group.
  static RecordPart &recordOf(Job &Owner, const TaskGroup &Group) {
    return Owner.Parts[Owner.Progress.partOf(Group)];
  }
  /// Whether everything of the job is recorded.
  static bool isRecorded(const Job &Owner);
  /// Whether the reported end need not be reported again.
  bool isRecorded(const UnrecordedEnd &End) const;
  /// Adds the changes of a job that are due, within the limits of changes().
  /// Returns false once nothing more fits.
  bool addChanges(const Job &Changed, std::size_t MaxEntries,
                  std::vector<JobChange> &Result) const;
  void allocateResources(WorkerState &Worker, const Resources &Allocated);
  void releaseResources(WorkerState &Worker, const Resources &Allocated);
  /// Fills AvailableWorkers.
  void listAvailableWorkers();
  void clearAvailableWorkers();
  void addJob(const JobSpec &Spec, JobStatus Published, JobProgress Progress);
  void place(StepCandidate &Candidate, const std::vector<TaskGroup *> &Groups,
             const std::vector<WorkerId> &ChosenWorkers, TimePoint Now);
  void abort(Job &Owner, TaskGroup &Group, std::string_view Reason);
  void abortAll(Job &Owner, std::string_view Reason);
  /// Aborts the groups of the tasks and records the stop.
  void abortTasks(const std::vector<TaskKey> &Tasks, std::string_view Reason,
                  TimePoint Now);
  /// Returns a run of a task of the step, with the resources that it holds.
  static PlacedRun runOfStep(const Job &Owner, const StepSpec &Step);
  /// Adds a run to the worker's run table and allocates its resources.
  RunTable::iterator addRun(WorkerState &Worker, const RunKey &Key,
                            const PlacedRun &Run);
  /// Removes a run that has ended and frees its resources.
  void removeRun(WorkerState &Worker, RunTable::iterator Run);
  void processEnd(WorkerState &Worker, const ReportedEnd &End,
                  std::optional<WorkerTime> MadeAt, TimePoint Now);
  void taskFailed(WorkerState &Worker, const TaskKey &Task, GroupRef Ref,
                  TimePoint Now);
  /// Returns the newest run of a member; null if no worker holds it.
  const PlacedRun *runOf(const Job &Owner, const TaskGroup &Group,
                         std::uint32_t Member) const;
  /// Returns the run of an answered order; null if the run has ended.
  PlacedRun *runOfOrder(const WorkerId &Worker, const TaskKey &Task,
                        RunNumber Number, OrderResult Result);
  /// Updates a run from a worker's report; an unknown run is added as a stray
  /// to be stopped. Returns the tail response time of a serving task divided by
  /// its target, nothing for other tasks.
  std::optional<double> updateRun(WorkerState &Worker,
                                  const ReportedRun &Reported,
                                  std::optional<WorkerTime> MadeAt,
                                  TimePoint SentAt, TimePoint Now);
  /// Removes runs that the worker held before the report was requested, and
  /// that the report lists neither as running nor as ended. A truncated report
  /// shows only that runs of an earlier incarnation are gone. A run whose order
  /// may still arrive at the new incarnation counts as lost, but is kept until
  /// it is stopped there.
  void removeUnreportedRuns(WorkerState &Worker, const WorkerReport &Report,
                            TimePoint SentAt, TimePoint Now);
  /// Removes a run that is to be stopped and is known not to have started.
  void removeIfNotStarted(WorkerState &Worker, const RunKey &Key);
  /// Handles a worker that does not answer, or whose address another one uses.
  /// \p BeforeOrder is true if a start order has found that.
  void workerUnreachable(WorkerState &Worker, bool BeforeOrder, TimePoint Now);
  /// Handles an answer of another incarnation at the worker's address.
  void workerReplaced(WorkerState &Worker, TimePoint Now);
  /// Stops the runs whose orders may arrive at the worker's new incarnation and
  /// that have ended on an earlier one.
  void stopLateStarts(WorkerState &Worker, Incarnation Life);
  /// Adds a run that the worker holds, or may start, although it is not to run;
  /// it is stopped.
  RunTable::iterator addStray(WorkerState &Worker, const RunKey &Key);
  /// Handles the end of all runs for which the worker may have received an
  /// order; a run whose start order is about to be answered is kept until then.
  void loseAllRuns(WorkerState &Worker, LossCause Cause, TimePoint Now);
  /// Removes runs that ended without a reported end.
  void removeLostRuns(WorkerState &Worker, const std::vector<RunKey> &Lost,
                      LossCause Cause, TimePoint Now);
  static std::string_view causeName(LossCause Cause);
  /// Records the loss of the worker with the groups of the runs, and gives up
  /// those that are to blame for it.
  void recordLosses(const WorkerState &Worker, const std::vector<RunKey> &Lost,
                    LossCause Cause, TimePoint Now);
  /// Takes over the losses that earlier owners recorded.
  void restoreLosses(Job &Restored, TimePoint Now);
  /// Whether another worker is listed at the address of a lost one.
  bool isReplaced(const WorkerLoss &Loss) const;
  /// Records whether a worker that was lost without proof has crashed.
  void settleLosses(const SilentWorker &Lost, bool Crashed,
                    std::string_view Evidence, TimePoint Now);
  /// Handles a worker that has become unresponsive. One that was gone before a
  /// start order has not been crashed by that order, and shows an outage.
  void workerSilent(WorkerState &Worker, bool BeforeOrder, TimePoint Now);
  /// Settles the loss of a worker that has answered.
  void settleAnswered(const WorkerId &Id, Incarnation Life, TimePoint Now);
  static CrashVerdict crashVerdict(const Job &Owner, const TaskGroup &Group,
                                   TimePoint Now);
  /// Fails the job if the group is guilty.
  void giveUpIfGuilty(Job &Owner, const TaskGroup &Group, TimePoint Now);
  static bool needsRecord(const Job &Owner);
  void finishJob(Job &Finished, JobStatus Status);

  /// Whether the worker accepts new tasks at all.
  bool acceptsWork(const WorkerState &Worker) const;
  /// Whether the worker could run the step, regardless of the adviser.
  bool canServe(const WorkerState &Worker, const StepCandidate &Candidate,
                TimePoint Now) const;
  bool eligible(const WorkerState &Worker, const StepCandidate &Candidate,
                TimePoint Now) const;
  /// Returns the waiting groups of a step; nothing if none can be placed yet.
  static std::optional<StepCandidate> candidateOf(Job &Owner,
                                                  std::uint32_t Occurrence,
                                                  std::uint32_t Step,
                                                  WallTime Wall);
  /// Returns a suspected group of the step that may start now; nothing while
  /// another one has yet to be cleared.
  static std::optional<StepCandidate> suspectOf(Job &Owner,
                                                std::uint32_t Occurrence,
                                                std::uint32_t Step,
                                                TimePoint Now, WallTime Wall);
  static StepCandidate describeCandidate(Job &Owner, TaskGroup &FirstWaiting,
                                         WallTime Wall);
  /// Lists the waiting groups of a candidate.
  static void listWaitingGroups(StepCandidate &Candidate);
  std::vector<StepCandidate> candidates(TimePoint Now, WallTime Wall);
  /// Whether a suspected candidate avoids the worker, or does not start there
  /// at all while it is isolated: other runs could be lost, and another crash
  /// of the same VM would prove nothing.
  static bool isAvoided(const WorkerState &Worker,
                        const StepCandidate &Candidate);
  /// Returns the workers with free resources for at least one task of the
  /// request.
  std::vector<PlacementTarget> placementTargets(const StepCandidate &Candidate,
                                                const PlacementRequest &Request,
                                                bool MayUseReserve,
                                                TimePoint Now) const;
  /// Returns how many tasks of the candidate's step the worker holds, if the
  /// step limits them.
  static std::uint32_t tasksOfStep(const WorkerState &Worker,
                                   const StepCandidate &Candidate);
  /// Chooses a worker for each task of the request that can start now; none if
  /// nothing can. \p MaySpanRacks is that of the request.
  std::vector<WorkerId> chooseWorkers(StepCandidate &Candidate,
                                      bool MaySpanRacks, bool MayUseReserve,
                                      TimePoint Now);
  /// Whether the candidate, which finds no free resources outside the urgent
  /// reserve, may use the reserve; not if it is known to fail there too.
  ReserveGrant reserveGrant(const StepCandidate &Candidate,
                            TimePoint Now) const;
  /// Prepares the request that the adviser has to answer before the step can
  /// be placed.
  void prepareAdviceRequest(const StepCandidate &Candidate, TimePoint Now);
  /// Whether the request cannot be placed in this pass.
  bool knownToFail(const PlacementRequest &Request,
                   const StepCandidate &Candidate, bool MayUseReserve) const;
  FailedRequest failedRequest(const PlacementRequest &Request,
                              const StepCandidate &Candidate,
                              bool MayUseReserve) const;
  /// Returns a hold of the candidate's job; null if it has none.
  const ReclaimHolds::Hold *ownHold(const StepCandidate &Candidate) const;
  /// Whether the candidate is kept off the worker. A worker that fails all its
  /// tasks has free resources for that reason, and an urgent job has few
  /// attempts.
  bool isRisky(const WorkerState &Worker, const StepCandidate &Candidate) const;
  PlacementRequest requestFor(const StepCandidate &Candidate) const;
  /// Reserves workers for a gang that does not fit yet.
  void reserveForGang(const StepCandidate &Candidate, TimePoint Now);
  /// Estimates the remaining time of a run.
  Duration remaining(const RunKey &Key, const PlacedRun &Run, TimePoint Now);
  /// Chooses the workers of the urgent reserve again.
  void updateReserve(TimePoint Now);
  bool tryPlace(StepCandidate &Candidate, TimePoint Now, bool MaySpanRacks);
  /// Returns how many of \p Count tasks of the candidate may start within the
  /// cap of its workspace.
  std::uint32_t startableTasks(const StepCandidate &Candidate,
                               std::uint32_t Count) const;
  /// Returns startableTasks(), less what the workspace will start on workers
  /// that are being cleared for its other jobs.
  std::uint32_t reclaimableTasks(const StepCandidate &Candidate,
                                 std::uint32_t Count) const;
  /// Whether the candidate waits because its workspace is at its cap.
  bool isAtCap(const StepCandidate &Candidate) const;
  /// Whether a planned group may still be started under the newest cap.
  bool mayOrderUnderCap(const Job &Owner, const TaskGroup &Group) const;
  /// Logs the jobs that have begun to wait at their workspace's cap.
  void logJobsAtCap(std::set<JobId> AtCap);
  void schedule(TimePoint Now, WallTime Wall);
  /// Collects the options of a reclaim for the candidate. With \p StopsOnly,
  /// runs that are forecast to end are not waited for.
  ReclaimOptions reclaimOptions(const StepCandidate &Candidate, bool StopsOnly,
                                TimePoint Now, WallTime Wall);
  /// Adds a worker to the options of a reclaim for the candidate.
  void addReclaimWorker(ReclaimOptions &Options, WorkerState &Worker,
                        const StepCandidate &Candidate, TimePoint Now,
                        WallTime Wall);
  bool reclaim(StepCandidate &Candidate, bool OneRack, TimePoint Now,
               WallTime Wall);
  /// Frees the resources that were kept for a job that has started or may not
  /// start, or leaves them to the next job that can use them.
  void releaseHolds(JobId Id);
  /// Keeps the resources of \p Tasks tasks on a worker for the candidate.
  void holdForReclaim(const StepCandidate &Candidate, WorkerState &Worker,
                      std::uint32_t Tasks, bool StopsOnly, TimePoint Now);
  /// Replaces the holds of the candidate's job by those of the plan.
  void holdForPlan(const StepCandidate &Candidate,
                   const ReclaimOptions &Options, const ReclaimPlan &Plan,
                   TimePoint Now);
  /// Whether the runs of a group may be preempted for any urgent step.
  static bool isAlwaysPreemptible(const Job &Owner, const TaskGroup &Group);
  /// Whether a run may be preempted for the urgent candidate.
  bool mayBePreempted(const Job &Owner, const PlacedRun &Run,
                      const StepCandidate &Candidate) const;
  /// Computes the accelerators that urgent work demands and holds.
  void computeUrgentUse();
  RunForecast forecast(const RunKey &Key, const PlacedRun &Run, TimePoint Now);
  /// Whether the job of a running group can no longer be of value.
  bool isWorthless(const Job &Owner, const TaskGroup &Group, Duration Remaining,
                   WallTime Wall) const;
  StopAssessment assessStop(const TaskGroup &Group, const Job &Owner,
                            TimePoint Now, WallTime Wall);
  void orderStarts(PoolOrders &Orders, TimePoint Now);
  void orderStops(PoolOrders &Orders, TimePoint Now);
  void orderPaces(PoolOrders &Orders, TimePoint Now);
  bool mayOrder(const WorkerState &Worker, const Job &Owner) const;
  /// Whether what is allocated on the worker, planned runs included, is within
  /// its capacity, which may have shrunk.
  static bool fitsOnWorker(const WorkerState &Worker);
  void abortIncompleteGangs(TimePoint Now);
  /// Removes unlisted workers that hold no runs and no unrecorded ends.
  void removeGoneWorkers();
  void dropWorkerReferences(const WorkerId &Id);
  /// Removes workers without pending orders or without runs from the sets that
  /// the order functions visit.
  void pruneOrderSets();
  /// Measures the speed of a run and compares it with the run's earlier speed.
  /// \p MadeAt is the time of the report: the owner may read it much later.
  static void sampleSpeed(WorkerState &Worker, PlacedRun &Run,
                          std::uint32_t Percent, WorkerTime MadeAt,
                          TimePoint Now);
  /// Gives the rate of a run to WorkerSpeeds once enough progress is seen.
  void measureRate(const WorkerState &Worker, const RunKey &Key,
                   const StepSpec &Step, PlacedRun &Run, std::uint32_t Percent,
                   WorkerTime MadeAt, TimePoint Now);
  void forgetSpeed(WorkerState &Worker);
  void updateSpeedClasses(TimePoint Now);
  SpeedPreference speedPreference(const StepCandidate &Candidate) const;
  /// Returns the estimated run time of an active group at the speed of the
  /// slowest class among its workers.
  Duration estimateAtClass(const StepSpec &Step, const TaskGroup &Group) const;
  /// Sets the pace of best-effort tasks on a worker by the worst tail response
  /// time, relative to its target, of the serving tasks there.
  void throttleBestEffort(WorkerState &Worker, std::optional<double> Worst,
                          TimePoint Now);
  /// Whether the worker has enough idle processor time for a best-effort task
  /// and no serving task that it could slow down.
  bool hasIdleCpuFor(const WorkerState &Worker,
                     const StepSpec &BestEffortStep) const;
  RenewalState stateOf(const WorkerState &Worker) const;
  /// Detects slow and failing workers.
  void updateSuspects(TimePoint Now);
  void evacuateSlow(TimePoint Now);
  /// Whether a run is left to end on a worker that leaves after \p TimeLeft.
  bool endsOnLeavingWorker(const RunKey &Key, const PlacedRun &Run,
                           Duration TimeLeft, TimePoint Now);
  /// Stops runs on draining workers that would not end before the worker
  /// leaves.
  void evacuateDraining(TimePoint Now);
  /// Stops the long-running tasks on cordoned workers, and all tasks on
  /// evacuating workers.
  void evacuateCordoned();
  /// Whether the scheduler may stop one more task of a long-running step
  /// without exceeding its limit of missing tasks.
  bool mayStopMember(const Job &Owner, const TaskGroup &Group) const;

  PoolLimits Limits;
  DecisionLog &Log;
  SpanObserver Observer;
  PoolConfiguration Configuration;
  /// Nothing is placed before the first configuration is known, since it may
  /// have caps.
  bool Configured = false;
  std::set<DomainId> DomainsOutOfService;
  std::set<WorkerId> CordonedWorkers;
  std::set<WorkerId> EvacuatingWorkers;
  std::map<WorkerId, WorkerState> Workers;
  std::map<JobId, Job> Jobs;
  /// Jobs with unrecorded changes.
  std::set<JobId> Unrecorded;
  std::uint64_t LastChange = 0;
  /// Workers with runs that may need a start or stop order.
  std::set<WorkerId> WorkersWithPendingOrders;
  /// Workers that hold best-effort tasks.
  std::set<WorkerId> BestEffortWorkers;
  /// Workers with unrecorded ends.
  std::set<WorkerId> WorkersWithUnrecordedEnds;
  /// Workers that are being cleared for an urgent job.
  std::set<WorkerId> ReclaimingWorkers;
  /// Resources that urgent jobs will hold on the workers that are being cleared
  /// for them.
  std::map<JobId, Resources> ReclaimedDemands;
  WorkspaceUsage Usage;
  /// Jobs that waited at their workspace's cap in the last pass.
  std::set<JobId> JobsAtCap;
  std::set<WorkerId> Renewals;
  /// Workers that accept tasks; rebuilt after each health check, and empty
  /// until then.
  std::vector<AvailableWorker> AvailableWorkers;
  StopCost Cost;
  /// What a stop of a group costs, computed at most once in a pass.
  std::unordered_map<const TaskGroup *, StopAssessment> StopAssessments;
  /// Jobs for which resources are kept at the start of this pass, each with one
  /// of its holds.
  std::map<JobId, ReclaimHolds::Hold> ReclaimingJobs;
  /// Time of the last health check.
  TimePoint HealthCheckedAt;
  TimePoint ReserveChosenAt;
  bool HealthCheckDue = true;
  UrgentReserve Reserve;
  ReserveAccess Access;
  WorkerSpeeds Speeds;
  TaskFailures Failures;
  SilentLosses Silent;
  OrdersInTransit InTransit;
  OutageDetector Outages;
  /// Jobs with groups under which workers were lost.
  std::set<JobId> JobsWithLosses;
  std::size_t TasksGivenUp = 0;
  std::size_t JobsSetAside = 0;
  /// Accelerators demanded and held by urgent work of each workspace in this
  /// pass; only while urgent work waits.
  std::optional<GuaranteeUse> UrgentUse;
  AdviceCache Advice;
  std::optional<AdviceRequest> PendingAdvice;
  /// Reservation for the first gang in the order that does not fit.
  std::optional<GangReservation> Reservation;
  JobId ReservationOwner;
  /// The reserved gang needs workers of the urgent reserve.
  bool ReservationUsesReserve = false;
  TimePoint ReservationPlannedAt;
  /// Requests that could not be placed in this pass. Free resources only shrink
  /// during a pass, so a request that needs no less cannot be placed either.
  std::vector<FailedRequest> FailedPlacements;
  ReclaimMemory Reclaims;
  ReclaimWaits Waits;
  /// A report has shown runs that are to be stopped.
  bool StopsDue = false;
  bool Fenced = false;
  bool DirectoryCurrent = true;
};

/// Whether a worker can run tasks of a step, by its service and labels.
bool canRun(const PoolWorker &Worker, const ServiceId &Service,
            const StepSpec &Step);

} // namespace banyanworks::pool

#endif
