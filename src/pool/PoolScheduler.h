/// \file
/// Defines PoolScheduler, which places the tasks of all jobs on the workers of
/// all services. It is driven by events and reads no clock.
#ifndef BANYANWORKS_POOL_POOLSCHEDULER_H
#define BANYANWORKS_POOL_POOLSCHEDULER_H

#include "pool/AdviceBook.h"
#include "pool/FillPace.h"
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
  Duration HoldPlan = std::chrono::milliseconds(200);
  /// How often the order to stop is repeated to fillers whose neighbours stay
  /// slow; well within the seconds that this may last.
  Duration PaceRepeat = std::chrono::seconds(1);
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
  bool Silent = false;
  /// It has answered a renewal of ours.
  bool Heard = false;
  /// Some run may be on it.
  bool HoldsRuns = false;
  /// It holds ends that may not be acknowledged yet.
  bool HasOpenEnds = false;
  /// The highest end that it may forget.
  std::uint64_t Acknowledged = 0;
};

class PoolScheduler {
public:
  PoolScheduler(const PoolLimits &Limits, DecisionLog &Log);

  /// Called with the spans of tasks from now on.
  void observe(SpanObserver Called) { Observer = std::move(Called); }

  void configure(const PoolConfiguration &Configuration);
  /// Failure domains in which nothing may start.
  void setDomainsOut(std::set<DomainId> Out);
  /// Workers that get no new work, and those of them whose work is moved.
  void setLeaving(std::set<WorkerId> Leaving, std::set<WorkerId> Pressed);
  void updateWorker(const PoolWorker &Worker, TimePoint Now);
  /// The directory no longer lists the worker; its runs are kept until they
  /// are surely over.
  void removeWorker(const WorkerId &Id);

  /// Takes an accepted job; one that is known already is left as it is.
  void submit(const JobSpec &Spec, JobStatus Shown);
  /// Takes over a job from the record that an earlier owner left.
  void restore(const JobSpec &Spec, JobStatus Shown, JobProgress Progress,
               TimePoint Now);
  void cancel(JobId Id);
  /// Forgets a final job once nothing of it is left; false if it is not so.
  bool forget(JobId Id);

  void workerReported(const WorkerId &Id, const WorkerReport &Report,
                      TimePoint SentAt, TimePoint Now);
  void startAnswered(const StartOrder &Order, OrderResult Result,
                     TimePoint Now);
  void stopAnswered(const StopOrder &Order, OrderResult Result, TimePoint Now);
  void paceAnswered(const PaceOrder &Order, OrderResult Result, TimePoint Now);
  /// Every lease on the worker has ended: nothing runs there any more.
  void leasesLapsed(const WorkerId &Id);

  /// Places what can be placed and returns the orders that are due.
  PoolOrders pass(TimePoint Now, WallTime Wall);

  /// The question that the adviser is to be asked next; nothing if none is
  /// needed.
  const std::optional<AdviceQuestion> &adviceWanted() const { return Question; }
  void advised(const AdviceQuestion &Asked, const AdviceAnswer &Answer,
               TimePoint SentAt);

  /// Jobs to be recorded, at most \p Most.
  std::vector<JobChange> changes(std::size_t Most) const;
  bool hasChanges() const;
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
    JobStatus Shown = JobStatus::Queued;
    JobStatus Status = JobStatus::Queued;
    std::uint64_t Version = 0;
    std::uint64_t Committed = 0;
    /// Runs of the job that may still be on workers.
    std::uint32_t Live = 0;
    /// Groups that have no run; jobs without one need no look.
    std::size_t Waiting = 0;
    /// The longest chain of estimated work.
    Duration Chain{};
  };
  /// An end that was taken in and waits to be recorded.
  struct OpenEnd {
    std::uint64_t Sequence = 0;
    JobId Owner;
    std::uint64_t Version = 0;
    TimePoint TakenAt;
  };
  struct Slot {
    PoolWorker Info;
    bool Listed = false;
    /// When a draining worker may leave.
    TimePoint LeavesAt = TimePoint::max();
    bool Silent = false;
    bool Heard = false;
    Incarnation Life;
    Resources Used;
    RunTable Runs;
    std::deque<OpenEnd> OpenEnds;
    std::uint64_t HighestEnd = 0;
    std::uint64_t Acknowledged = 0;
    TimePoint RefusedUntil;
    std::map<JobId, TimePoint> Failures;
    WorkerPace Pace;
    FillPace Filling;
    /// Slow, or failing the tasks of several jobs, in this turn.
    bool Suspect = false;
    /// Only urgent work is placed here in this turn.
    bool Kept = false;
    /// The urgent job for which others leave the worker, until a time.
    JobId ReservedFor;
    TimePoint ReservedUntil;
  };
  /// Waiting groups of one step of a job, with what decides their turn.
  struct Candidate {
    Job *Owner = nullptr;
    std::vector<TaskGroup *> Groups;
    const StepSpec *Step = nullptr;
    QueueTerms Terms;
    /// When the step has to start for its job to meet its objective.
    WallTime LatestStart;
    /// 0 while the objective can be met, 1 while the job can end within three
    /// times of it, else 2.
    std::uint32_t Lateness = 0;
    /// Urgent work of a workspace that asks for no more than its guarantee.
    bool Guaranteed = false;
    /// How long the job has waited since it was due.
    Duration Waited{};

    StepKey key() const {
      const TaskGroup &First = *Groups.front();
      return {Owner->Spec.Id, First.Occurrence, First.Step};
    }
  };
  /// A request that found no room. Within a turn room only shrinks, so that one
  /// that asks for no less does not find any either.
  struct NoRoom {
    PlacementRequest Request;
    ServiceId Service;
    std::string Label;
    Duration Estimate{};
  };
  struct GroupRef {
    Job *Owner = nullptr;
    TaskGroup *Group = nullptr;
  };
  /// Runs that would have to leave a worker, and what that costs.
  struct Victims {
    std::vector<GroupRef> Groups;
    double Cost = 0.0;
  };

  GroupRef find(const TaskKey &Task);
  void observed(PoolSpan Span, Duration Took) const {
    if (Observer)
      Observer(Span, Took);
  }
  const QueueTerms &termsOf(const JobSpec &Spec) const;
  void addJob(const JobSpec &Spec, JobStatus Shown, JobProgress Progress);
  void place(Candidate &Next, const std::vector<TaskGroup *> &Groups,
             const std::vector<WorkerId> &Chosen, TimePoint Now);
  void abort(Job &Owner, TaskGroup &Group, std::string_view Why);
  void abortAll(Job &Owner, std::string_view Why);
  /// Stops the groups of some tasks.
  void abortTasks(const std::vector<TaskKey> &Tasks, std::string_view Why);
  /// Removes a run that is surely over and frees its room.
  void settle(Slot &On, RunTable::iterator Run);
  void takeEnd(Slot &On, const ReportedEnd &End, TimePoint Now);
  void taskFailed(Slot &On, Job &Owner, TaskGroup &Group, TimePoint Now);
  /// The newest run of a member; null if no worker holds it any more.
  const PlacedRun *runOf(const Job &Owner, const TaskGroup &Group,
                         std::uint32_t Member) const;
  /// The run that an order was about, once it is answered; null if it is over.
  PlacedRun *answeredRun(const WorkerId &Worker, const TaskKey &Task,
                         RunNumber Number, OrderResult Result);
  /// Takes in what a worker tells of a run. Returns the tail of its response
  /// times as a share of its target; nothing if it serves nobody.
  std::optional<double> adopt(Slot &On, const ReportedRun &Seen,
                              TimePoint SentAt, TimePoint Now);
  /// Settles runs that the worker held before it was asked and does not list.
  void dropUnreported(Slot &On, const WorkerReport &Report, TimePoint SentAt);
  /// Settles runs that are over without a reported end.
  void runsGone(Slot &On, const std::vector<RunKey> &Gone,
                std::string_view Why);
  static bool needsRecord(const Job &Of);
  void conclude(Job &Changed, JobStatus Status);

  /// Whether the worker can take new tasks at all.
  bool takesWork(const Slot &On) const;
  /// Whether the worker can take new tasks of the step, were it advised.
  bool usable(const Slot &On, const Candidate &For, TimePoint Now) const;
  bool eligible(const Slot &On, const Candidate &For, TimePoint Now) const;
  std::vector<Candidate> candidates(WallTime Wall);
  std::vector<WorkerRoom> rooms(const Candidate &For, TimePoint Now) const;
  /// Notes what the adviser has to be asked so that the step can be placed.
  void needAdvice(const Candidate &For, TimePoint Now);
  bool knownToFail(const PlacementRequest &Request,
                   const Candidate &Next) const;
  bool isReserved(const Slot &On, const Candidate &For, TimePoint Now) const;
  PlacementRequest requestFor(const Candidate &Next) const;
  /// Keeps room for a gang that does not fit yet.
  void holdFor(const Candidate &Next, TimePoint Now);
  /// How long a run is expected to go on.
  Duration remaining(const RunKey &Key, const PlacedRun &Run, TimePoint Now);
  /// Chooses anew which workers only urgent work may use.
  void keepReserve(TimePoint Now);
  bool tryPlace(Candidate &Next, TimePoint Now, bool MaySpan);
  void schedule(TimePoint Now, WallTime Wall);
  Victims victimsOn(const Slot &On, const Candidate &For, std::uint32_t Tasks,
                    TimePoint Now);
  bool reclaim(Candidate &Urgent, bool OneRack, TimePoint Now);
  /// Whether a run may be stopped for the urgent job.
  bool givesWay(const Job &Owner, const PlacedRun &Run,
                const Candidate &For) const;
  /// Counts what urgent work needs and holds.
  void countGuarantees();
  double lossOf(const TaskGroup &Group, const Job &Owner, TimePoint Now) const;
  void orderStarts(PoolOrders &Orders, TimePoint Now);
  void orderStops(PoolOrders &Orders, TimePoint Now);
  void orderPaces(PoolOrders &Orders, TimePoint Now);
  bool mayOrder(const Slot &On, const Job &Owner) const;
  void giveUpGangs(TimePoint Now);
  /// Compares a task's progress with its own before.
  static void samplePace(Slot &On, PlacedRun &Run, std::uint32_t Percent,
                         TimePoint Now);
  /// Judges by the worst tail beside them how fast fillers may work.
  void paceFillers(Slot &On, std::optional<double> Worst, TimePoint Now);
  /// Whether a task that fills would find idle processor time, and no task that
  /// it could slow down.
  bool idleFor(const Slot &On, const StepSpec &Filler) const;
  static RenewalState stateOf(const Slot &On);
  /// Finds the workers that are better left alone now.
  void judgeWorkers(TimePoint Now);
  void moveFromSlow(TimePoint Now);
  /// Moves work away from workers that leave before it can end.
  void leaveDraining(TimePoint Now);
  /// Moves work away from workers that are about to be taken down.
  void leavePressed();
  /// Whether one more task of a long-running step may be away by our doing.
  bool mayBeAway(const Job &Owner, const TaskGroup &Group) const;

  PoolLimits Limits;
  DecisionLog &Log;
  SpanObserver Observer;
  PoolConfiguration Configuration;
  std::set<DomainId> DomainsOut;
  std::set<WorkerId> LeavingWorkers;
  std::set<WorkerId> PressedWorkers;
  std::map<WorkerId, Slot> Slots;
  std::map<JobId, Job> Jobs;
  UrgentReserve Reserve;
  /// Urgent work by workspace in this turn; only while some of it waits.
  std::optional<GuaranteeUse> Guarantees;
  AdviceBook Advice;
  std::optional<AdviceQuestion> Question;
  /// Room for the first gang in the order that does not fit.
  std::optional<GangHold> Hold;
  JobId HoldOwner;
  /// The held gang is too large for what the reserve leaves.
  bool HoldUsesReserve = false;
  TimePoint HoldPlannedAt;
  /// Shapes for which no room was found in this turn.
  std::vector<NoRoom> Refusals;
  bool Fenced = false;
};

/// Whether a worker may run tasks of a step, by its service and labels.
bool offers(const PoolWorker &Worker, const ServiceId &Service,
            const StepSpec &Step);

} // namespace banyanworks::pool

#endif
