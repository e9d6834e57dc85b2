/// \file
/// Defines the messages between a worker and the daemon that schedules its
/// failure domain. The worker reports; the daemon answers and sends orders.
#ifndef BANYANWORKS_EDGE_WORKERMESSAGES_H
#define BANYANWORKS_EDGE_WORKERMESSAGES_H

#include "jobs/JobEvents.h"
#include "model/Worker.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanworks {

/// The report that a worker sends at each heartbeat and when a task ends.
struct WorkerReport {
  WorkerId Worker;
  Incarnation Session;
  /// Address at which the worker accepts orders, "host:port".
  std::string Address;
  /// Present when the session starts and when the daemon requested it.
  std::optional<WorkerInventory> Inventory;
  /// Ended tasks that no daemon has acknowledged yet.
  std::vector<TaskEnded> Ended;
  std::vector<UsageReported> Usage;
};

/// The answer of a daemon to a report.
struct ReportAnswer {
  /// False if this daemon does not schedule the worker's failure domain; the
  /// report is then ignored.
  bool Accepted = false;
  /// Address of the daemon that schedules the failure domain, if known.
  std::string OwnerAddress;
  /// True if the next report must include the inventory.
  bool InventoryWanted = false;
  /// How long the worker's session is valid after the report.
  Duration Lease{};
};

/// An order to a worker: the alternatives of JobAction that name a worker.
using WorkerOrder =
    std::variant<HoldTask, StartTask, ReleaseTask, CheckpointTask, StopTask,
                 ThrottleTask, ForgetTask>;

} // namespace banyanworks

#endif
