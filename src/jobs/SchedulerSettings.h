/// \file
/// Defines SchedulerSettings, the policies and bounds of the scheduler of one
/// failure domain.
#ifndef BANYANWORKS_JOBS_SCHEDULERSETTINGS_H
#define BANYANWORKS_JOBS_SCHEDULERSETTINGS_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace banyanworks {

/// What operators may set; the defaults serve both small and large domains.
struct SchedulerSettings {
  /// Registered names of the policies.
  std::string OrderPolicy = "fair-share";
  std::string PlacementPolicy = "cell-fit";
  std::string VictimPolicy = "least-loss";

  /// True if gangs that cannot checkpoint get lent capacity only where no
  /// guarantee needs it, so that they are never reclaimed.
  bool ProtectUncheckpointable = true;

  /// A hold that is not started by then lapses at the worker.
  Duration HoldLease = std::chrono::seconds(3);
  /// A worker that nobody renews for this long has let go of its tasks.
  Duration SessionLease = std::chrono::seconds(10);
  /// An order without an answer is taken for lost after this time.
  Duration AnswerTimeout = std::chrono::seconds(1);
  /// Orders that must take effect are repeated at this interval.
  Duration RepeatInterval = std::chrono::milliseconds(500);
  /// A checkpoint that takes longer is cut short by a stop.
  Duration CheckpointGrace = std::chrono::seconds(30);
  /// Queue passes follow each other no faster than this.
  Duration PassInterval = std::chrono::milliseconds(20);
  /// Placements tried in one pass, so that a pass stays short.
  std::uint32_t PassBudget = 256;
  /// Consecutive jobs of one workspace that may fail to fit before the pass
  /// leaves the workspace.
  std::uint32_t BackfillDepth = 32;

  /// The wait before the first restart; doubles up to the limit.
  Duration RestartBackoff = std::chrono::seconds(5);
  Duration RestartBackoffLimit = std::chrono::minutes(5);

  /// A new owner waits this long for the inventories of expected workers.
  Duration RecoveryTimeout = std::chrono::seconds(2);
  /// Losses within one rack this close together are one event.
  Duration RackLossWindow = std::chrono::milliseconds(500);

  /// Terminal jobs that are kept for queries and repeated submissions.
  std::uint32_t TerminalJobsKept = 20000;
};

} // namespace banyanworks

#endif
