/// \file
/// Defines CrashRecord, the workers that were lost while they held runs of one
/// task group, and the decision on whether the group is to blame.
#ifndef BANYANWORKS_POOL_CRASHRECORD_H
#define BANYANWORKS_POOL_CRASHRECORD_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/TaskKey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// How long a run had lasted when its worker was lost.
enum class LossAge : std::uint8_t {
  /// It was reported at an age of CrashRecord::StartWindow or more.
  Later,
  /// An earlier owner started it, and it was never reported to this one.
  Unknown,
  /// It had just started: no report shows it older than that.
  AtStart,
};

/// A worker that was lost while it held a run of a task.
struct WorkerLoss {
  /// The task, as an index among the members of its group.
  std::uint32_t Member = 0;
  /// The run that was lost; zero in records of earlier versions.
  RunNumber Run;
  WorkerId Worker;
  /// Address of the worker, which a later incarnation may use again.
  std::string Address;
  /// The incarnation that was lost; zero if it is not known.
  Incarnation Life;
  LossAge Age = LossAge::Later;
  /// The run had just started, and no other group's on the worker had.
  bool OnlyStart = false;
  /// Many workers were lost at the same moment, so that the age of the run is
  /// no evidence against it.
  bool InOutage = false;
  /// The worker's process is known to have ended. Otherwise the worker may as
  /// well be disconnected.
  bool Proven = false;
  /// When the owner learned of the loss.
  TimePoint KnownAt;

  /// Whether \p Later, recorded after this one, is the loss of the same run
  /// with the same incarnation. A run that is ordered again on the next
  /// incarnation of its worker may crash that one, too.
  bool isSameAs(const WorkerLoss &Later) const;
  /// Whether the age of the run speaks against its task.
  bool speaksAgainstTask() const {
    return Age == LossAge::AtStart && !InOutage;
  }
};

/// What to do with a group under which workers were lost.
enum class CrashVerdict : std::uint8_t {
  /// Nothing suggests that the group is the cause.
  Unsuspected,
  /// It may be the cause: its next run is the only one that starts on a worker.
  Suspected,
  /// It is the cause if the unproven losses were crashes, and waits until that
  /// is known.
  Held,
  /// It is the cause.
  Guilty,
};

/// Tells a task that crashes each worker from tasks that were on workers when
/// these crashed for another reason. A crash right after the start of a task is
/// evidence against the task; one at any other time can have any cause, so that
/// only their number counts.
class CrashRecord {
public:
  /// Age up to which a run counts as just started. Reports of a worker that
  /// holds runs are at most OwnerLimits::RenewalWait apart.
  static constexpr Duration StartWindow = std::chrono::milliseconds(500);
  /// Age of a run that clears the group of all earlier losses.
  static constexpr Duration ClearingAge = std::chrono::seconds(60);
  /// Time for which a suspected group waits for a worker without other runs.
  static constexpr Duration IsolationWait = std::chrono::seconds(2);
  /// Longest time for which a group is held for the proof of a crash at its
  /// start; a crashed worker is usually back by then.
  static constexpr Duration HoldTime = std::chrono::seconds(3);
  /// Time after which a worker that was not heard of counts as crashed; most
  /// partitions have ended by then.
  static constexpr Duration GoneAfter = std::chrono::seconds(10);
  /// Crashes at the start of a task, on different VMs, that show its guilt if
  /// it was the only one to start at least once.
  static constexpr std::size_t MaxCrashesAtStart = 2;
  /// The same for a task beside which others started each time, or whose age
  /// was not known.
  static constexpr std::size_t MaxUnclearCrashesAtStart = 3;
  /// Losses of any kind after which a task does not start again. The users
  /// allow two more starts after three crashes.
  static constexpr std::size_t MaxLosses = 5;
  /// Losses kept, the newest ones. A gang that spans a rack loses as many
  /// members at once.
  static constexpr std::size_t MaxKept = 64;

  bool empty() const { return Losses.empty(); }
  const std::vector<WorkerLoss> &losses() const { return Losses; }
  /// Dates all losses, which a restored record does not do.
  void setKnownAt(TimePoint KnownAt);
  /// Adds a loss; false if it is recorded already. An owner learns of the
  /// losses again that an earlier one recorded, as long as other members of the
  /// gang may be running.
  bool add(WorkerLoss Loss);
  /// Marks the losses of the worker as crashes.
  void prove(const WorkerId &Worker);
  /// Drops the losses of a worker that turned out to be alive.
  void acquit(const WorkerId &Worker);
  /// Handles a report that shows a run of the group at the age of \p Age.
  /// Returns true if that clears a suspicion.
  bool runReported(Duration Age);

  /// \p HasLimit is false for tasks that run until they are cancelled: their
  /// losses of any kind only add up with time.
  CrashVerdict verdict(bool HasLimit, TimePoint Now) const;
  /// Whether a crash at the start of a run speaks against the member, or
  /// against any member of the group if it is not given.
  bool isSuspect(std::optional<std::uint32_t> Member = std::nullopt) const;
  /// Whether a worker at the address was lost.
  bool hasLost(const std::string &Address) const;
  /// Whether the group is not placed together with the others of its step.
  bool placedByItself() const {
    return !Losses.empty() && (isSuspect() || isAtLimit());
  }
  /// Whether the next run still waits for a worker without other runs, on a VM
  /// where the group has lost none.
  bool waitsForIsolation(TimePoint Now) const;

private:
  bool isGuilty(bool HasLimit, bool ProvenOnly) const;
  /// Whether any member has reached MaxLosses.
  bool isAtLimit() const;
  TimePoint lastKnownAt() const;

  std::vector<WorkerLoss> Losses;
};

} // namespace banyanworks::pool

#endif
