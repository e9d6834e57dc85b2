/// \file
/// Defines the messages between a worker and the daemon that schedules its
/// failure domain. A worker reports; the daemon answers and sends orders.
#ifndef BANYANWORKS_EDGE_WORKERMESSAGES_H
#define BANYANWORKS_EDGE_WORKERMESSAGES_H

#include "jobs/JobEvents.h"
#include "model/Worker.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanworks {

/// What a worker sends at each heartbeat and when a task ends.
struct WorkerReport {
  WorkerId Worker;
  Incarnation Session;
  /// Where the worker takes orders, "host:port".
  std::string Address;
  /// Sent when the session opens and when the daemon asked for it.
  std::optional<WorkerInventory> Inventory;
  /// Ends that no daemon has acknowledged yet.
  std::vector<TaskEnded> Ended;
  std::vector<UsageReported> Usage;
};

/// What a daemon answers to a report.
struct ReportAnswer {
  /// False if this daemon does not schedule the worker's failure domain;
  /// nothing of the report was taken then.
  bool Accepted = false;
  /// The daemon that does, if it is known.
  std::string OwnerAddress;
  /// True if the next report has to carry the inventory.
  bool InventoryWanted = false;
  /// The worker's session stands for this long from the report on.
  Duration Lease{};
};

/// One order to a worker, of the kinds of JobAction that have a Worker.
using WorkerOrder =
    std::variant<HoldTask, StartTask, ReleaseTask, CheckpointTask, StopTask,
                 ThrottleTask, ForgetTask>;

} // namespace banyanworks

#endif
