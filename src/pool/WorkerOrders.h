/// \file
/// Defines the orders to a worker and its reports, independent of the wire
/// format.
#ifndef BANYANWORKS_POOL_WORKERORDERS_H
#define BANYANWORKS_POOL_WORKERORDERS_H

#include "pool/TaskKey.h"
#include "pool/WorkerTime.h"

#include "base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// Starts one task of a group on a worker.
struct StartOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
  std::string Program;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string Checkpoint;
  /// The adviser's ticket; empty if the queue has no adviser.
  std::string Ticket;
};

/// Stops a run, or prevents its start if the start order arrives later.
struct StopOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
};

/// Limits the speed of a run.
struct PaceOrder {
  WorkerId Worker;
  TaskKey Task;
  RunNumber Run;
  /// Percent of full speed, 0 to 100; a run starts at 100.
  std::uint32_t Percent = 100;
};

/// The outcome of an order.
enum class OrderResult : std::uint8_t {
  /// The worker executed the order, now or earlier.
  Done,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The worker has already stopped or ended this run or a later one.
  Superseded,
  /// The lease that the order granted had expired on arrival.
  Expired,
  /// The worker lacks free resources.
  NoCapacity,
  /// The worker is unhealthy and refused the order without effect.
  Unhealthy,
  /// Another incarnation of the worker answered; the order had no effect.
  OtherIncarnation,
  /// The worker could not parse the order; it had no effect.
  Malformed,
  /// The worker rejected the adviser's ticket; the order had no effect.
  NoTicket,
  /// No byte of the order left this process, as with a closed port.
  NotSent,
  /// No answer arrived; the order may have been or may yet be executed.
  NoAnswer,
};

/// Whether an order with this result was carried out, or may have been or yet
/// be. A superseded start order was carried out earlier.
bool mayHaveTakenEffect(OrderResult Result);

/// The reason for which a run ended.
enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseLapsed,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not start in time.
  GangAlone,
};

/// A run that a worker reports as present.
struct ReportedRun {
  TaskKey Task;
  RunNumber Run;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// Tail response time of a serving task over the last half second, in
  /// milliseconds; meaningless for other tasks.
  std::uint32_t TailMs = 0;
};

/// The end of a run, which the worker reports again until it is acknowledged.
struct ReportedEnd {
  /// Sequence number of the end, from 1 in each incarnation of the worker.
  std::uint64_t Sequence = 0;
  TaskKey Task;
  RunNumber Run;
  RunEnd Outcome = RunEnd::Failed;
  std::string Checkpoint;
};

/// A worker's answer to the renewal of its lease.
struct WorkerReport {
  /// NoAnswer if no answer arrived.
  OrderResult Result = OrderResult::NoAnswer;
  /// Error message of a call without an answer, as for a refused connection.
  std::string Fault;
  Incarnation WorkerIncarnation;
  /// When the worker made the report; nothing if it does not say so.
  std::optional<WorkerTime> MadeAt;
  std::vector<ReportedRun> Running;
  std::vector<ReportedEnd> Ended;
  /// The worker may hold more ends than the report lists. It reports them once
  /// the listed ones are acknowledged.
  bool EndsTruncated = false;
};

} // namespace banyanworks::pool

#endif
