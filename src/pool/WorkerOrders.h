/// \file
/// Defines the orders to a worker and what it answers, free of any wire format.
#ifndef BANYANWORKS_POOL_WORKERORDERS_H
#define BANYANWORKS_POOL_WORKERORDERS_H

#include "pool/TaskKey.h"

#include "base/Time.h"

#include <string>
#include <vector>

namespace banyanworks::pool {

/// Starts one task of a group.
struct StartOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
  std::string Program;
  /// Resumes from here; empty to start anew.
  std::string Checkpoint;
  /// The adviser's ticket; empty if the queue is not advised.
  std::string Ticket;
};

/// Stops a run; also keeps it from starting if its order is still on the way.
struct StopOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
};

/// Lets a run work at a share of its pace.
struct PaceOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
  /// 0 to 100; a run starts at 100.
  std::uint32_t Percent = 100;
};

/// What became of an order.
enum class OrderResult : std::uint8_t {
  /// The worker carried it out, now or earlier.
  Done,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The worker has stopped or ended this run or a later one.
  Superseded,
  /// The lease that the order granted had ended when it arrived.
  Expired,
  /// The worker has no room.
  NoRoom,
  /// The worker refused and did nothing.
  Unhealthy,
  /// Another incarnation of the worker answered; the order did nothing.
  OtherLife,
  /// The worker found the order malformed; it did nothing.
  Malformed,
  /// The worker does not accept the adviser's ticket; it did nothing.
  NoTicket,
  /// Nothing was heard; it may be carried out now or later.
  NoAnswer,
};

/// How a run ended.
enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseLapsed,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not come.
  GangAlone,
};

/// A run that a worker holds.
struct ReportedRun {
  TaskKey Task;
  RunNumber Run;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// The tail of the response times of a task that serves users, in
  /// milliseconds, over the last half second; of no meaning for other tasks.
  std::uint32_t TailMs = 0;
};

/// The end of a run, which the worker repeats until it is acknowledged.
struct ReportedEnd {
  /// Counts a worker's ends from 1 in each of its lives.
  std::uint64_t Sequence = 0;
  TaskKey Task;
  RunNumber Run;
  RunEnd How = RunEnd::Failed;
  std::string Checkpoint;
};

/// A worker's answer to the renewal of its lease.
struct WorkerReport {
  /// Unknown if nothing was heard.
  OrderResult Result = OrderResult::NoAnswer;
  Incarnation Life;
  std::vector<ReportedRun> Running;
  std::vector<ReportedEnd> Ended;
};

} // namespace banyanworks::pool

#endif
