/// \file
/// Defines JobProgress, what is known of the work of one job and must outlive
/// the process that schedules it.
#ifndef BANYANWORKS_POOL_JOBPROGRESS_H
#define BANYANWORKS_POOL_JOBPROGRESS_H

#include "pool/JobSpec.h"
#include "pool/JobStatus.h"
#include "pool/TaskKey.h"

#include "base/Error.h"

#include <span>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// Whether a group of tasks waits, has a run, or is done.
enum class GroupState : std::uint8_t { Waiting, Active, Done };

/// Tasks that start together: all of a gang, or a single one.
struct TaskGroup {
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  /// The first task's index; members follow it.
  std::uint32_t FirstIndex = 0;
  std::uint32_t Members = 1;
  GroupState State = GroupState::Waiting;
  /// The newest run that was ever planned; zero if there was none.
  RunNumber Run;
  /// Runs that failed by their own fault, each counted once.
  std::uint32_t Failures = 0;
  RunNumber LastFailed;
  std::string Checkpoint;
  /// Where the members of the newest run were placed.
  std::vector<WorkerId> Workers;
  /// Runs of the group, of any number, that may still be on a worker. Not part
  /// of the durable form.
  std::uint32_t LiveRuns = 0;

  TaskKey task(JobId Job, std::uint32_t Member) const {
    return {Job, Occurrence, Step, FirstIndex + Member};
  }
};

/// The groups of a job, by occurrence, step and index.
class JobProgress {
public:
  JobProgress() = default;
  explicit JobProgress(const JobSpec &Spec);

  std::vector<TaskGroup> &groups() { return Groups; }
  const std::vector<TaskGroup> &groups() const { return Groups; }
  /// The groups of one step in one occurrence.
  std::span<TaskGroup> groupsOf(std::uint32_t Occurrence, std::uint32_t Step);
  /// The group of a task; null if the job has no such task.
  TaskGroup *findGroup(const TaskKey &Task);
  /// True if all tasks of the steps that \p Group waits for are done.
  bool isReady(const JobSpec &Spec, const TaskGroup &Group) const;
  bool allDone() const;

  bool hasFailed() const { return Failed; }
  void markFailed() { Failed = true; }

  /// The durable form; groups that were never placed are left out.
  std::string encode() const;
  /// Applies a durable form to the groups of \p Spec. Fails on malformed text.
  static Outcome<JobProgress> decode(const JobSpec &Spec,
                                     const std::string &Text);

private:
  std::vector<TaskGroup> Groups;
  bool Failed = false;
  /// Where the groups of each occurrence and step begin.
  std::vector<std::uint32_t> StepOffsets;
  std::uint32_t StepsPerOccurrence = 0;
};

} // namespace banyanworks::pool

#endif
