/// \file
/// Defines SchedulerSettings, the policies and limits of the scheduler of one
/// failure domain.
#ifndef BANYANWORKS_JOBS_SCHEDULERSETTINGS_H
#define BANYANWORKS_JOBS_SCHEDULERSETTINGS_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace banyanworks {

/// Settings of the scheduler; the defaults suit both small and large domains.
struct SchedulerSettings {
  /// Registered names of the policies.
  std::string OrderPolicy = "fair-share";
  std::string PlacementPolicy = "cell-fit";
  std::string VictimPolicy = "least-loss";

  /// True if gangs that cannot checkpoint borrow only capacity that no
  /// guarantee needs, so that they are never reclaimed.
  bool ProtectUncheckpointable = true;

  /// The worker releases a hold that is not started within this time.
  Duration HoldLease = std::chrono::seconds(3);
  /// A worker whose session is not renewed for this long has stopped its tasks.
  Duration SessionLease = std::chrono::seconds(10);
  /// An order without an answer is considered lost after this time.
  Duration AnswerTimeout = std::chrono::seconds(1);
  /// Interval at which orders that must take effect are repeated.
  Duration RepeatInterval = std::chrono::milliseconds(500);
  /// Checkpoints that take longer are aborted by a stop.
  Duration CheckpointGrace = std::chrono::seconds(30);
  /// Minimum interval between passes over the queue.
  Duration PassInterval = std::chrono::milliseconds(20);
  /// Maximum number of placements tried per pass; bounds the duration of a
  /// pass.
  std::uint32_t PassBudget = 256;
  /// Number of jobs of one workspace that may fail to fit in a pass before the
  /// pass skips the rest of its queue.
  std::uint32_t BackfillDepth = 32;

  /// Backoff before the first restart; doubles up to the limit.
  Duration RestartBackoff = std::chrono::seconds(5);
  Duration RestartBackoffLimit = std::chrono::minutes(5);

  /// Time for which a new owner waits for the inventories of expected workers.
  Duration RecoveryTimeout = std::chrono::seconds(2);
  /// Worker losses within one rack in this window count as one event.
  Duration RackLossWindow = std::chrono::milliseconds(500);

  /// Number of terminal jobs kept for queries and repeated submissions.
  std::uint32_t TerminalJobsKept = 20000;
};

} // namespace banyanworks

#endif
