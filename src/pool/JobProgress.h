/// \file
/// Defines JobProgress, the state of a job's tasks that has to outlive the
/// process that schedules them.
#ifndef BANYANWORKS_POOL_JOBPROGRESS_H
#define BANYANWORKS_POOL_JOBPROGRESS_H

#include "pool/CrashRecord.h"
#include "pool/JobSpec.h"
#include "pool/JobStatus.h"
#include "pool/TaskKey.h"

#include "base/Error.h"
#include "base/Time.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// Scheduling state of a task group.
enum class GroupState : std::uint8_t { Waiting, Active, Done };

/// Tasks that start together: all members of a gang, or a single task.
struct TaskGroup {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  /// Index of the first task; the other members follow consecutively.
  std::uint32_t FirstIndex = 0;
  std::uint32_t Members = 1;
  GroupState State = GroupState::Waiting;
  /// Highest run number planned so far; zero if there was none.
  RunNumber Run;
  /// Number of runs that failed through their own fault, each counted once.
  std::uint32_t Failures = 0;
  RunNumber LastFailed;
  std::string Checkpoint;
  /// Workers that were lost under runs of the group.
  CrashRecord Crashes;
  /// Workers on which the members of the newest run were placed.
  std::vector<WorkerId> Workers;
  /// The incarnations of these workers. Stored only if workers were lost under
  /// the group, so that a successor recognizes the next crash.
  std::vector<Incarnation> Lives;
  /// Number of runs of the group, of any run number, that may still be on a
  /// worker. Not stored.
  std::uint32_t LiveRuns = 0;
  /// When the scheduler last stopped the group for other work or because of its
  /// worker. Not stored.
  std::optional<TimePoint> LastStopped;
  /// Time until which an urgent step relies on the end of the newest run
  /// instead of a stop. Not stored.
  std::optional<TimePoint> AwaitedUntil;

  TaskKey task(JobId Job, std::uint32_t Member) const {
    return {Job, Occurrence, Step, FirstIndex + Member};
  }
};

/// The task groups of a job, ordered by occurrence, step and index.
///
/// The stored form consists of parts, each a range of groups, so that a value
/// of the store holds any of them and a change writes few bytes. Records of
/// earlier versions hold all groups in the first part.
class JobProgress {
public:
  /// Tasks in one part; more only if a single gang has more.
  static constexpr std::uint32_t TasksPerPart = 64;

  JobProgress() = default;
  explicit JobProgress(const JobSpec &Spec);

  std::vector<TaskGroup> &groups() { return Groups; }
  const std::vector<TaskGroup> &groups() const { return Groups; }
  /// Returns the groups of one step in one occurrence.
  std::span<TaskGroup> groupsOf(std::uint32_t Occurrence, std::uint32_t Step);
  /// Returns the group that contains a task; null if the job has no such task.
  TaskGroup *findGroup(const TaskKey &Task);
  /// Whether all tasks of the steps that \p Group depends on are done.
  bool isReady(const JobSpec &Spec, const TaskGroup &Group) const;
  bool allDone() const;

  bool hasFailed() const { return Failed; }
  void markFailed() { Failed = true; }

  std::size_t partCount() const { return PartStarts.size() - 1; }
  std::size_t partOf(const TaskGroup &Group) const;
  /// Encodes one part for the store; groups that were never placed are omitted.
  /// If the text would be longer than \p MaxBytes, it lacks the longest
  /// checkpoints, and then the losses: such a task starts from its beginning
  /// after a takeover.
  std::string encodePart(std::size_t Part, std::size_t MaxBytes) const;
  /// Reads a stored part into the progress. Fails on malformed text, and may
  /// have read some groups then.
  Outcome<void> addPart(std::size_t Part, const std::string &Text);
  /// Whether the part was read from the store.
  bool wasStored(std::size_t Part) const { return Stored[Part]; }
  /// Whether a part held groups of other parts, as earlier versions store them.
  bool wasUndivided() const { return Undivided; }

  /// Encodes all groups as one text.
  std::string encode() const;
  /// Decodes the first stored part of a job with the steps of \p Spec. Fails on
  /// malformed text.
  static Outcome<JobProgress> decode(const JobSpec &Spec,
                                     const std::string &Text);

private:
  /// What a text leaves out.
  struct Omissions {
    /// Checkpoints of at least this length.
    std::size_t CheckpointsFrom = std::string::npos;
    bool Losses = false;
  };
  void computeParts();
  std::string encodeGroups(std::size_t First, std::size_t End,
                           const Omissions &Omitted) const;

  std::vector<TaskGroup> Groups;
  bool Failed = false;
  /// Index of the first group of each occurrence and step, with the end as the
  /// last element.
  std::vector<std::uint32_t> StepOffsets;
  std::uint32_t StepsPerOccurrence = 0;
  /// Index of the first group of each part, with the end as the last element.
  std::vector<std::uint32_t> PartStarts = {0};
  std::vector<bool> Stored;
  bool Undivided = false;
};

} // namespace banyanworks::pool

#endif
