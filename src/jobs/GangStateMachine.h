/// \file
/// Defines GangMachine, the life of one run of a gang: all members are held,
/// then all are started; whatever breaks in between undoes the whole gang.
#ifndef BANYANWORKS_JOBS_GANGSTATEMACHINE_H
#define BANYANWORKS_JOBS_GANGSTATEMACHINE_H

#include "jobs/JobEvents.h"
#include "jobs/Placement.h"
#include "jobs/SchedulerSettings.h"

#include <optional>
#include <vector>

namespace banyanworks {

/// How far one member has come.
enum class MemberState : std::uint8_t {
  Holding,
  Held,
  Starting,
  Running,
  Ended
};

/// How far the whole gang has come.
enum class GangStage : std::uint8_t {
  Holding,
  Starting,
  Running,
  Checkpointing,
  Stopping,
  Ended,
};

/// How a run of a gang came to its end.
enum class GangEnd : std::uint8_t {
  /// It was never started.
  NotStarted,
  Succeeded,
  /// A member failed by itself.
  Failed,
  /// A worker was lost, or its start was.
  Lost,
  /// The scheduler took the resources back.
  Reclaimed,
  Cancelled,
};

/// One member, its place and state.
struct GangMember {
  MemberPlacement Placement;
  MemberState State = MemberState::Holding;
  /// Set once the member is over and its worker said how.
  std::optional<TaskEnd> End;
  Duration SavedRunTime{};
};

/// What a machine needs to act: the time, its epoch and where actions go.
struct GangContext {
  TimePoint Now;
  Epoch Term;
  const SchedulerSettings &Settings;
  /// Work may start in the failure domain before then.
  TimePoint StartPermittedUntil;
  std::vector<JobAction> &Actions;

  bool mayStart() const { return Now < StartPermittedUntil; }
};

/// One run of one gang. It is over when no member can still hold resources.
class GangStateMachine {
public:
  /// A new run with those places, in the order of the members.
  GangStateMachine(std::shared_ptr<const JobSpec> Spec, std::uint64_t Run,
                   const std::vector<MemberPlacement> &Places);

  /// Adopts a run from the workers' word; \p Found has one entry a member,
  /// with the states Held, Running or Over.
  static GangStateMachine adopt(std::shared_ptr<const JobSpec> Spec,
                                std::uint64_t Run,
                                std::vector<GangMember> Reported);

  /// Asks every worker to hold its member.
  void begin(GangContext &Context);
  /// Goes on from an adopted state: starts what is held, watches what runs or
  /// undoes a gang that cannot be completed.
  void resume(GangContext &Context);

  void onHoldAnswered(GangContext &Context, const HoldAnswered &Answer);
  void onStartAnswered(GangContext &Context, const StartAnswered &Answer);
  void onTaskEnded(GangContext &Context, const TaskEnded &Ended);
  /// Every member on \p Worker has let go by itself.
  void onWorkerLost(GangContext &Context, const WorkerId &Worker);
  /// A member is not in its worker's inventory, and its end is not known.
  void onMemberMissing(GangContext &Context, std::uint32_t Member);

  /// Asks for a checkpoint and stops what remains after \p Grace.
  void checkpoint(GangContext &Context, Duration Grace, Reason Cause);
  /// Stops the gang at once; \p End says on whose account.
  void stop(GangContext &Context, GangEnd End, Reason Why);
  /// Looks at the deadlines.
  void onDeadline(GangContext &Context);

  GangStage stage() const { return Stage; }
  bool ended() const { return Stage == GangStage::Ended; }
  /// When onTime has to be called next.
  TimePoint deadline() const { return Deadline; }
  std::uint64_t run() const { return Run; }
  const std::vector<GangMember> &members() const { return Members; }
  /// Valid once the gang is over.
  GangEnd end() const;
  /// Why the gang ended, where it did not succeed.
  Reason endReason() const { return EndReason; }
  /// The worker at which the gang broke; empty if none is known.
  const WorkerId &failedWorker() const { return FailedWorker; }
  /// Run time that the next run need not repeat.
  Duration savedRunTime() const;
  /// When the last member started; unset before.
  std::optional<TimePoint> startedAt() const { return StartedAt; }
  /// Takes over the start from a worker's report.
  void setStartTime(TimePoint At) { StartedAt = At; }
  /// True once a start order was given, so that members may have run.
  bool mayHaveRun() const { return StartOrdered; }

private:
  TaskId task(std::uint32_t Member) const;
  bool isCurrent(const TaskId &Task, const WorkerId &Worker) const;
  void releaseHolds(GangContext &Context, Reason Cause, const WorkerId &Worker);
  void startAll(GangContext &Context);
  void sendStarts(GangContext &Context);
  void sendStops(GangContext &Context);
  void sendCheckpoints(GangContext &Context);
  void setStage(GangStage Next);
  void endIfAllEnded();
  void failGang(GangContext &Context, GangEnd End, Reason Cause,
                const WorkerId &Worker);
  void onMemberStarted(GangContext &Context);
  void onMemberLost(GangContext &Context, std::uint32_t Member);
  Duration holdLease(const GangContext &Context) const;

  std::shared_ptr<const JobSpec> Spec;
  std::uint64_t Run = 0;
  std::vector<GangMember> Members;
  /// Members in Holding while the gang is, else in Starting.
  std::uint32_t Pending = 0;
  /// Members that are not over.
  std::uint32_t Remaining = 0;
  GangStage Stage = GangStage::Holding;
  TimePoint Deadline = TimePoint::max();
  /// A stage ends by then, whatever the workers answer.
  TimePoint StageDeadline = TimePoint::max();
  std::optional<TimePoint> StartedAt;
  bool StartOrdered = false;
  /// How the run ended unless every member succeeded.
  GangEnd End = GangEnd::Lost;
  Reason EndReason = Reason::None;
  WorkerId FailedWorker;
};

} // namespace banyanworks

#endif
