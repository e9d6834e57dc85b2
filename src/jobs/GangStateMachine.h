/// \file
/// Defines GangStateMachine, the state machine of one run of a gang: all
/// members are held, then all are started; a failure before the start releases
/// all holds, a later one stops all members.
#ifndef BANYANWORKS_JOBS_GANGSTATEMACHINE_H
#define BANYANWORKS_JOBS_GANGSTATEMACHINE_H

#include "jobs/JobEvents.h"
#include "jobs/Placement.h"
#include "jobs/SchedulerSettings.h"

#include <optional>
#include <vector>

namespace banyanworks {

/// State of one member.
enum class MemberState : std::uint8_t {
  Holding,
  Held,
  Starting,
  Running,
  Ended
};

/// State of the gang as a whole.
enum class GangStage : std::uint8_t {
  Holding,
  Starting,
  Running,
  Checkpointing,
  Stopping,
  Ended,
};

/// Outcome of a run of a gang.
enum class GangEnd : std::uint8_t {
  /// No start order was sent.
  NotStarted,
  Succeeded,
  /// A member failed on its own.
  Failed,
  /// A worker was lost, or the start of a member failed.
  Lost,
  /// The scheduler reclaimed the resources.
  Reclaimed,
  Cancelled,
};

/// One member with its placement and state.
struct GangMember {
  MemberPlacement Placement;
  MemberState State = MemberState::Holding;
  /// Set once the worker reported how the member ended.
  std::optional<TaskEnd> End;
  Duration SavedRunTime{};
};

/// Inputs of a state machine: current time, epoch, settings and the list that
/// receives actions.
struct GangContext {
  TimePoint Now;
  Epoch Term;
  const SchedulerSettings &Settings;
  /// No task may start in the failure domain at or after this time.
  TimePoint StartPermittedUntil;
  std::vector<JobAction> &Actions;

  bool mayStart() const { return Now < StartPermittedUntil; }
};

/// One run of one gang. It has ended when no member can still hold resources.
class GangStateMachine {
public:
  /// Creates a new run with one placement per member, in member order.
  GangStateMachine(std::shared_ptr<const JobSpec> Spec, std::uint64_t Run,
                   const std::vector<MemberPlacement> &Placements);

  /// Adopts a run from the workers' reports. \p Reported has one entry per
  /// member, in state Held, Running or Ended.
  static GangStateMachine adopt(std::shared_ptr<const JobSpec> Spec,
                                std::uint64_t Run,
                                std::vector<GangMember> Reported);

  /// Sends a hold order for every member.
  void begin(GangContext &Context);
  /// Continues an adopted run: starts held members, monitors running ones, or
  /// ends a gang that cannot be completed.
  void resume(GangContext &Context);

  void onHoldAnswered(GangContext &Context, const HoldAnswered &Answer);
  void onStartAnswered(GangContext &Context, const StartAnswered &Answer);
  void onTaskEnded(GangContext &Context, const TaskEnded &Ended);
  /// Marks every member on \p Worker as ended, since its worker's session has
  /// expired.
  void onWorkerLost(GangContext &Context, const WorkerId &Worker);
  /// Handles a member that is missing from its worker's inventory and whose end
  /// is not known.
  void onMemberMissing(GangContext &Context, std::uint32_t Member);

  /// Asks all members to checkpoint and stops those still running after \p
  /// Grace.
  void checkpoint(GangContext &Context, Duration Grace, Reason Cause);
  /// Stops the gang immediately; \p End is the outcome to record.
  void stop(GangContext &Context, GangEnd End, Reason Cause);
  /// Handles the deadline if it has passed.
  void onDeadline(GangContext &Context);

  GangStage stage() const { return Stage; }
  bool ended() const { return Stage == GangStage::Ended; }
  /// The time at which onDeadline has to be called.
  TimePoint deadline() const { return Deadline; }
  std::uint64_t run() const { return Run; }
  const std::vector<GangMember> &members() const { return Members; }
  /// Outcome of the run; valid once the gang has ended.
  GangEnd end() const;
  /// Reason of an end other than success.
  Reason endReason() const { return EndReason; }
  /// The worker that caused the end; empty if none is known.
  const WorkerId &failedWorker() const { return FailedWorker; }
  /// Run time saved by checkpoints, which the next run need not repeat.
  Duration savedRunTime() const;
  /// Time at which the last member started; unset before that.
  std::optional<TimePoint> startedAt() const { return StartedAt; }
  /// Sets the start time of an adopted run from a worker's report.
  void setStartTime(TimePoint Start) { StartedAt = Start; }
  /// True once a start order was sent, so that members may have run.
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
  /// Number of members in state Holding while the gang is in stage Holding,
  /// otherwise in state Starting.
  std::uint32_t Pending = 0;
  /// Number of members that have not ended.
  std::uint32_t Remaining = 0;
  GangStage Stage = GangStage::Holding;
  TimePoint Deadline = TimePoint::max();
  /// The stage ends at this time even without answers from workers.
  TimePoint StageDeadline = TimePoint::max();
  std::optional<TimePoint> StartedAt;
  bool StartOrdered = false;
  /// Outcome of the run unless every member succeeded.
  GangEnd End = GangEnd::Lost;
  Reason EndReason = Reason::None;
  WorkerId FailedWorker;
};

} // namespace banyanworks

#endif
