/// \file
/// Defines PoolScheduler, which places the tasks of all jobs on the workers of
/// all services. It is driven by events and reads no clock.
#ifndef BANYANWORKS_POOL_POOLSCHEDULER_H
#define BANYANWORKS_POOL_POOLSCHEDULER_H

#include "pool/AdviceCache.h"
#include "pool/BestEffortThrottle.h"
#include "pool/GangHold.h"
#include "pool/GuaranteeUse.h"
#include "pool/JobProgress.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolLoad.h"
#include "pool/PoolSpan.h"
#include "pool/PoolWorker.h"
#include "pool/RunTable.h"
#include "pool/TaskPlacer.h"
#include "pool/UrgentReserve.h"
#include "pool/WorkerOrders.h"
#include "pool/WorkerPace.h"

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

/// The time limits of a PoolScheduler.
struct PoolLimits {
  /// How long an order that was not answered waits before it is repeated;
  /// several round trips, so that only a lost answer is waited out.
  Duration OrderRetry = std::chrono::milliseconds(200);
  /// How long a gang waits for orders that were not answered before it is
  /// given up; below the time that members wait for each other at the workers.
  Duration GangStartLimit = std::chrono::milliseconds(1800);
  /// How long a refusal keeps a worker from getting more tasks.
  Duration RefusalPause = std::chrono::seconds(1);
  /// How long workers are kept free for an urgent job while others leave them;
  /// the time a worker takes to stop a run, and a round trip.
  Duration ReclaimTime = std::chrono::milliseconds(1300);
  /// How long a worker takes at most to stop a run.
  Duration StopTime = std::chrono::milliseconds(900);
  /// How long a plan for a gang that waits is kept; the estimates it rests on
  /// are no better than that.
  Duration ReservationLifetime = std::chrono::milliseconds(200);
  /// How often the order to stop is repeated to fillers whose neighbours stay
  /// slow; well within the seconds that this may last.
  Duration PaceRepeatInterval = std::chrono::seconds(1);
  /// How often all workers are judged when none of them has changed; far below
  /// the seconds in which a pace or a notice counts.
  Duration HealthCheckInterval = std::chrono::milliseconds(100);
  /// How often the workers kept for urgent work are chosen anew; a few turns,
  /// in which a part of the reserve may be taken.
  Duration ReserveInterval = std::chrono::milliseconds(20);
  /// How many workers the adviser is asked about at once: enough for most
  /// gangs, while its answer takes longer with each.
  std::size_t WorkersPerQuestion = 30;
  ReserveLimits Reserve;
};

/// A job whose durable state has changed.
struct JobChange {
  JobId Job;
  /// Counts the changes of the job; handed back by committed().
  std::uint64_t Version = 0;
  /// The progress to keep; empty if it is to be removed.
  std::string Progress;
  /// The status to show; only if it differs from what is shown.
  std::optional<JobStatus> Status;
};

/// Orders that are to be given now.
struct PoolOrders {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PaceOrder> Paces;
};

/// What the renewal of a worker's lease depends on.
struct RenewalState {
  /// Never null; its address is empty if the directory has never listed it.
  const PoolWorker *Worker = nullptr;
  /// It did not answer its last renewal.
  bool Unresponsive = false;
  /// It has answered a renewal of ours.
  bool HasReported = false;
  /// Some run may be on it.
  bool HoldsRuns = false;
  /// It holds ends that may not be acknowledged yet.
  bool HasUnrecordedEnds = false;
  /// The highest end that it may forget.
  std::uint64_t Acknowledged = 0;
};

class PoolScheduler {
public:
  PoolScheduler(const PoolLimits &Limits, DecisionLog &Log);

  /// Called with the spans of tasks from now on.
  void observe(SpanObserver Callback) { Observer = std::move(Callback); }

  void configure(const PoolConfiguration &NewConfiguration);
  /// Failure domains in which nothing may start.
  void setDomainsOut(std::set<DomainId> Out);
  /// Workers that get no new work, and those of them whose work is moved.
  void setCordoned(std::set<WorkerId> Cordoned, std::set<WorkerId> Evacuating);
  void updateWorker(const PoolWorker &Worker, TimePoint Now);
  /// The directory no longer lists the worker; its runs are kept until they
  /// are surely over.
  void removeWorker(const WorkerId &Id);

  /// Takes an accepted job; one that is known already is left as it is.
  void submit(const JobSpec &Spec, JobStatus Published);
  /// Takes over a job from the record that an earlier owner left.
  void restore(const JobSpec &Spec, JobStatus Published, JobProgress Progress,
               TimePoint Now);
  void cancel(JobId Id);
  /// Forgets a final job once nothing of it is left; false if it is not so.
  bool removeJob(JobId Id);

  void workerReported(const WorkerId &Id, const WorkerReport &Report,
                      TimePoint SentAt, TimePoint Now);
  void startAnswered(const StartOrder &Order, OrderResult Result,
                     TimePoint Now);
  void stopAnswered(const StopOrder &Order, OrderResult Result, TimePoint Now);
  void paceAnswered(const PaceOrder &Order, OrderResult Result, TimePoint Now);
  /// Every lease on the worker has ended: nothing runs there any more.
  void leasesExpired(const WorkerId &Id);

  /// Places what can be placed and returns the orders that are due.
  PoolOrders pass(TimePoint Now, WallTime Wall);

  /// The question that the adviser is to be asked next; nothing if none is
  /// needed.
  const std::optional<AdviceQuestion> &pendingAdvice() const {
    return PendingAdvice;
  }
  void adviceReceived(const AdviceQuestion &Asked, const AdviceAnswer &Answer,
                      TimePoint SentAt);

  /// Jobs to be recorded, in as many entries of the store as \p MostEntries:
  /// one for the progress of a job and one for its status. What callers wait
  /// for comes first: ends, then urgent work, then what has waited longest.
  std::vector<JobChange> changes(std::size_t MostEntries) const;
  bool hasChanges() const { return !Unrecorded.empty(); }
  /// The changes are recorded: planned runs may be ordered, ends may be
  /// acknowledged.
  void committed(const std::vector<JobChange> &Changes, TimePoint Now);

  /// The worker as the directory described it last; null if it is unknown.
  const PoolWorker *worker(const WorkerId &Id) const;
  /// What the renewal of the worker's lease depends on; nothing if it is
  /// unknown.
  std::optional<RenewalState> renewalState(const WorkerId &Id) const;
  /// Visits all workers, with those that only hold runs still. Leases may be
  /// ended by leasesLapsed() meanwhile.
  void
  visitWorkers(const std::function<void(const RenewalState &)> &Visit) const;
  /// Workers for which what decides on a renewal has changed since the last
  /// call.
  std::set<WorkerId> takeRenewals() { return std::exchange(Renewals, {}); }
  /// True once a worker has seen a higher fencing token than ours.
  bool fenced() const { return Fenced; }
  /// How much accepted work waits and runs.
  PoolLoad load(TimePoint Now);
  /// Jobs that are neither final nor started.
  std::size_t waitingJobs() const;

private:
  struct Job {
    JobSpec Spec;
    JobProgress Progress;
    /// What callers are shown, as recorded.
    JobStatus PublishedStatus = JobStatus::Queued;
    JobStatus Status = JobStatus::Queued;
    std::uint64_t Version = 0;
    std::uint64_t CommittedVersion = 0;
    /// Counts the changes of all jobs; the first of this one that is not
    /// recorded.
    std::uint64_t FirstUnrecordedChange = 0;
    /// The queue's terms now; never null.
    const QueueTerms *Terms = nullptr;
    /// Runs of the job that may still be on workers.
    std::uint32_t LiveRuns = 0;
    /// Groups that have no run; jobs without one need no look.
    std::size_t WaitingGroups = 0;
    /// The longest chain of estimated work, and the one from each step on.
    Duration CriticalPath{};
    std::vector<Duration> RemainingPaths;
  };
  /// An end that was taken in and waits to be recorded.
  struct UnrecordedEnd {
    std::uint64_t Sequence = 0;
    JobId Owner;
    std::uint64_t Version = 0;
    TimePoint ReceivedAt;
  };
  struct WorkerState {
    PoolWorker Info;
    bool Listed = false;
    /// When a draining worker may leave.
    TimePoint LeavesAt = TimePoint::max();
    bool Unresponsive = false;
    bool HasReported = false;
    Incarnation Life;
    Resources Allocated;
    /// Its place in OpenRooms, if it is there.
    std::optional<std::size_t> AvailableIndex;
    RunTable Runs;
    std::deque<UnrecordedEnd> UnrecordedEnds;
    std::uint64_t HighestEnd = 0;
    std::uint64_t Acknowledged = 0;
    TimePoint RefusedUntil;
    std::map<JobId, TimePoint> Failures;
    /// The last task to end by itself has failed.
    bool LastTaskFailed = false;
    WorkerPace Slowdown;
    BestEffortThrottle Throttle;
    /// Slow, or failing the tasks of several jobs, in this turn.
    bool Suspect = false;
    /// Only urgent work is placed here in this turn.
    bool InReserve = false;
    /// The urgent job for which others leave the worker, until a time.
    JobId ReclaimedFor;
    TimePoint ReclaimedUntil;
  };
  /// Waiting groups of one step of a job, with what decides their turn.
  struct StepCandidate {
    Job *Owner = nullptr;
    /// The first group that waits.
    TaskGroup *FirstWaiting = nullptr;
    /// All groups that wait; listed when an attempt is made to place them.
    std::vector<TaskGroup *> Groups;
    const StepSpec *Step = nullptr;
    const QueueTerms *Terms = nullptr;
    /// When the step has to start for its job to meet its objective.
    WallTime LatestStart;
    /// 0 while the objective can be met, 1 while the job can end within three
    /// times of it, else 2.
    std::uint32_t Lateness = 0;
    /// Urgent work of a workspace that asks for no more than its guarantee.
    bool Guaranteed = false;
    /// How long the job has waited since it was due.
    Duration Waited{};

    /// Kept off risky workers.
    bool avoidsRisk() const { return Terms->Priority == 0 && Lateness == 0; }
    StepKey stepKey() const {
      return {Owner->Spec.Id, FirstWaiting->Occurrence, FirstWaiting->Step};
    }
  };
  /// A request that found no room. Within a turn room only shrinks, so that one
  /// that asks for no less does not find any either.
  struct FailedRequest {
    PlacementRequest Request;
    ServiceId Service;
    std::string Label;
    Duration Estimate{};
    /// It could not even have what its guarantee allows it to reclaim.
    bool Guaranteed = false;
    /// Risky workers were left out.
    bool AvoidedRisk = false;
  };
  struct GroupRef {
    Job *Owner = nullptr;
    TaskGroup *Group = nullptr;
  };
  /// A run that may be stopped for urgent work.
  struct Victim {
    GroupRef Ref;
    Resources Allocated;
    /// What is lost, in core seconds, and what it costs to stop the run at all.
    double Loss = 0.0;
    double StopPenalty = 0.0;

    double costPerFreedCore() const;
  };
  /// Runs that would have to leave a worker, and what that costs.
  struct VictimSet {
    std::vector<GroupRef> Groups;
    double Cost = 0.0;
  };
  /// What a worker could give to an urgent step.
  struct ReclaimOffer {
    /// Free, or being freed.
    Resources Free;
    /// Those that cost least for their room come first.
    std::vector<Victim> Victims;
  };
  /// A worker that takes work, and what is free on it.
  struct AvailableWorker {
    WorkerState *Worker = nullptr;
    Resources Free;
  };

  GroupRef findGroup(const TaskKey &Task);
  void reportSpan(PoolSpan Span, Duration Took) const {
    if (Observer)
      Observer(Span, Took);
  }
  const QueueTerms &currentTerms(const JobSpec &Spec) const;
  /// Notes that the job has to be recorded again.
  void markChanged(Job &Changed);
  void allocateResources(WorkerState &Worker, const Resources &Allocated);
  void releaseResources(WorkerState &Worker, const Resources &Allocated);
  /// Lists the workers that take work.
  void listAvailableWorkers();
  void clearAvailableWorkers();
  void addJob(const JobSpec &Spec, JobStatus Published, JobProgress Progress);
  void place(StepCandidate &Candidate, const std::vector<TaskGroup *> &Groups,
             const std::vector<WorkerId> &Chosen, TimePoint Now);
  void abort(Job &Owner, TaskGroup &Group, std::string_view Reason);
  void abortAll(Job &Owner, std::string_view Reason);
  /// Stops the groups of some tasks.
  void abortTasks(const std::vector<TaskKey> &Tasks, std::string_view Reason);
  /// Removes a run that is surely over and frees its room.
  void removeRun(WorkerState &Worker, RunTable::iterator Run);
  void processEnd(WorkerState &Worker, const ReportedEnd &End, TimePoint Now);
  void taskFailed(WorkerState &Worker, Job &Owner, TaskGroup &Group,
                  TimePoint Now);
  /// The newest run of a member; null if no worker holds it any more.
  const PlacedRun *runOf(const Job &Owner, const TaskGroup &Group,
                         std::uint32_t Member) const;
  /// The run that an order was about, once it is answered; null if it is over.
  PlacedRun *runOfOrder(const WorkerId &Worker, const TaskKey &Task,
                        RunNumber Number, OrderResult Result);
  /// Takes in what a worker tells of a run. Returns the tail of its response
  /// times as a share of its target; nothing if it serves nobody.
  std::optional<double> updateRun(WorkerState &Worker,
                                  const ReportedRun &Reported, TimePoint SentAt,
                                  TimePoint Now);
  /// Settles runs that the worker held before it was asked and does not list.
  void removeUnreportedRuns(WorkerState &Worker, const WorkerReport &Report,
                            TimePoint SentAt);
  /// Settles runs that are over without a reported end.
  void removeLostRuns(WorkerState &Worker, const std::vector<RunKey> &Lost,
                      std::string_view Reason);
  static bool needsRecord(const Job &Owner);
  void finishJob(Job &Finished, JobStatus Status);

  /// Whether the worker can take new tasks at all.
  bool acceptsWork(const WorkerState &Worker) const;
  /// Whether the worker can take new tasks of the step, were it advised.
  bool canServe(const WorkerState &Worker, const StepCandidate &Candidate,
                TimePoint Now) const;
  bool eligible(const WorkerState &Worker, const StepCandidate &Candidate,
                TimePoint Now) const;
  /// What waits of a step; nothing if nothing of it can be placed yet.
  static std::optional<StepCandidate> candidateOf(Job &Owner,
                                                  std::uint32_t Occurrence,
                                                  std::uint32_t Step,
                                                  WallTime Wall);
  /// Lists the groups of a candidate that wait.
  static void listWaitingGroups(StepCandidate &Candidate);
  std::vector<StepCandidate> candidates(WallTime Wall);
  /// Workers with room for at least one task of the request.
  std::vector<PlacementTarget> placementTargets(const StepCandidate &Candidate,
                                                const PlacementRequest &Request,
                                                TimePoint Now) const;
  /// Notes what the adviser has to be asked so that the step can be placed.
  void prepareAdviceRequest(const StepCandidate &Candidate, TimePoint Now);
  static bool knownToFail(const std::vector<FailedRequest> &FailedRequests,
                          const PlacementRequest &Request,
                          const StepCandidate &Candidate);
  static FailedRequest failedRequest(const PlacementRequest &Request,
                                     const StepCandidate &Candidate);
  /// Whether urgent work is kept off the worker: some fail all that they start,
  /// and have room for that reason, while an urgent job has few attempts.
  bool isRisky(const WorkerState &Worker, const StepCandidate &Candidate) const;
  bool isReclaimedForOther(const WorkerState &Worker,
                           const StepCandidate &Candidate, TimePoint Now) const;
  PlacementRequest requestFor(const StepCandidate &Candidate) const;
  /// Keeps room for a gang that does not fit yet.
  void reserveForGang(const StepCandidate &Candidate, TimePoint Now);
  /// How long a run is expected to go on.
  Duration remaining(const RunKey &Key, const PlacedRun &Run, TimePoint Now);
  /// Chooses anew which workers only urgent work may use.
  void updateReserve(TimePoint Now);
  bool tryPlace(StepCandidate &Candidate, TimePoint Now, bool MaySpanRacks);
  void schedule(TimePoint Now, WallTime Wall);
  ReclaimOffer reclaimOffer(const WorkerState &Worker,
                            const StepCandidate &Candidate, TimePoint Now);
  /// The cheapest runs whose room is enough for some tasks of the step; a
  /// negative cost if there are none.
  static VictimSet chooseVictims(const ReclaimOffer &Offer,
                                 const StepCandidate &Candidate,
                                 std::uint32_t Tasks);
  bool reclaim(StepCandidate &Candidate, bool OneRack, TimePoint Now);
  /// Whether a run may be stopped for the urgent job.
  bool mayBePreempted(const Job &Owner, const PlacedRun &Run,
                      const StepCandidate &Candidate) const;
  /// Counts what urgent work needs and holds.
  void computeUrgentUse();
  double stopLoss(const TaskGroup &Group, const Job &Owner, TimePoint Now);
  void orderStarts(PoolOrders &Orders, TimePoint Now);
  void orderStops(PoolOrders &Orders, TimePoint Now);
  void orderPaces(PoolOrders &Orders, TimePoint Now);
  bool mayOrder(const WorkerState &Worker, const Job &Owner) const;
  void abortIncompleteGangs(TimePoint Now);
  /// Forgets workers that are not listed and hold nothing any more.
  void removeGoneWorkers();
  void dropWorkerReferences(const WorkerId &Id);
  /// Takes workers that need no orders off the lists of those that may.
  void pruneOrderSets();
  /// Compares a task's progress with its own before.
  static void sampleSpeed(WorkerState &Worker, PlacedRun &Run,
                          std::uint32_t Percent, TimePoint Now);
  /// Judges by the worst tail beside them how fast fillers may work.
  void throttleBestEffort(WorkerState &Worker, std::optional<double> Worst,
                          TimePoint Now);
  /// Whether a task that fills would find idle processor time, and no task that
  /// it could slow down.
  bool hasIdleCpuFor(const WorkerState &Worker,
                     const StepSpec &BestEffortStep) const;
  static RenewalState stateOf(const WorkerState &Worker);
  /// Finds the workers that are better left alone now.
  void updateSuspects(TimePoint Now);
  void evacuateSlow(TimePoint Now);
  /// Moves work away from workers that leave before it can end.
  void evacuateDraining(TimePoint Now);
  /// Moves work away from workers that are about to be taken down.
  void evacuateCordoned();
  /// Whether one more task of a long-running step may be away by our doing.
  bool mayStopMember(const Job &Owner, const TaskGroup &Group) const;

  PoolLimits Limits;
  DecisionLog &Log;
  SpanObserver Observer;
  PoolConfiguration Configuration;
  std::set<DomainId> DomainsOut;
  std::set<WorkerId> CordonedWorkers;
  std::set<WorkerId> EvacuatingWorkers;
  std::map<WorkerId, WorkerState> Workers;
  std::map<JobId, Job> Jobs;
  /// Jobs that have changed since they were recorded.
  std::set<JobId> Unrecorded;
  std::uint64_t LastChange = 0;
  /// Workers with runs that may have to be ordered to start or to stop.
  std::set<WorkerId> WorkersWithPendingOrders;
  /// Workers that hold fillers.
  std::set<WorkerId> BestEffortWorkers;
  /// Workers with ends that wait to be recorded.
  std::set<WorkerId> WorkersWithUnrecordedEnds;
  /// Workers that others leave for an urgent job.
  std::set<WorkerId> ReclaimingWorkers;
  std::set<WorkerId> Renewals;
  /// Listed anew after workers were judged; empty before.
  std::vector<AvailableWorker> AvailableWorkers;
  /// What stopping a group loses, in this turn.
  std::unordered_map<const TaskGroup *, double> StopLosses;
  /// When all workers were last judged.
  TimePoint HealthCheckedAt;
  TimePoint ReserveChosenAt;
  bool HealthCheckDue = true;
  UrgentReserve Reserve;
  /// Urgent work by workspace in this turn; only while some of it waits.
  std::optional<GuaranteeUse> UrgentUse;
  AdviceCache Advice;
  std::optional<AdviceQuestion> PendingAdvice;
  /// Room for the first gang in the order that does not fit.
  std::optional<GangHold> Reservation;
  JobId ReservationOwner;
  /// The held gang is too large for what the reserve leaves.
  bool ReservationUsesReserve = false;
  TimePoint ReservationPlannedAt;
  /// Shapes for which no room was found in this turn, and for which none could
  /// be reclaimed.
  std::vector<FailedRequest> FailedPlacements;
  std::vector<FailedRequest> FailedReclaims;
  bool Fenced = false;
};

/// Whether a worker may run tasks of a step, by its service and labels.
bool canRun(const PoolWorker &Worker, const ServiceId &Service,
            const StepSpec &Step);

} // namespace banyanworks::pool

#endif
