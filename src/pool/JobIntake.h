/// \file
/// Defines JobIntake, through which any daemon accepts, reports and cancels
/// jobs.
#ifndef BANYANWORKS_POOL_JOBINTAKE_H
#define BANYANWORKS_POOL_JOBINTAKE_H

#include "base/Reason.h"
#include "base/Time.h"
#include "pool/JobSpec.h"
#include "pool/JobStatus.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct TransactionResult;
} // namespace banyanworks

namespace banyanworks::pool {

class JobCache;

/// Timeouts and limits of a JobIntake.
struct IntakeLimits {
  /// Timeout of one write to the store; exceeds the slowest response of a slow
  /// store.
  Duration CallTimeout = std::chrono::milliseconds(1200);
  /// Delay before a write without an answer is repeated.
  Duration RetryDelay = std::chrono::milliseconds(50);
  /// Part of the caller's deadline that is reserved for returning the reply.
  Duration ReplyMargin = std::chrono::milliseconds(150);
  /// Delay before the status is read from the store. Callers tend to ask just
  /// when they expect the job to end; after this delay, an end that a worker
  /// has reported is recorded (one scheduling pass of the owner and one
  /// write).
  Duration StatusReadDelay = std::chrono::milliseconds(25);
  /// Time after which a status request is answered with the status that this
  /// daemon knows, without waiting longer for the store; many round trips.
  Duration StatusTimeout = std::chrono::milliseconds(150);
  /// Minimum retry delay for a caller whose job another daemon has just
  /// rejected.
  Duration MinRetryAfter = std::chrono::seconds(1);
  /// Maximum number of status reads in flight. Beyond it the store is
  /// overloaded, and requests are answered from the cache immediately.
  std::uint32_t MaxStatusReads = 32;
  /// Maximum age of the watch's last confirmation for a queued status to be
  /// answered from the cache; an idle watch is confirmed every second.
  Duration MaxWatchAge = std::chrono::milliseconds(1500);
};

/// Accepts, reports and cancels jobs. Reason::None means success. If a write
/// may still take effect, the job is answered with Reason::OutcomeUnknown,
/// never with a rejection.
class JobIntake {
public:
  using Callback = std::function<void(Reason)>;
  /// The status, or the reason why it is not known: Reason::UnknownJob or
  /// Reason::StoreUnavailable.
  using StatusCallback = std::function<void(Reason, JobStatus)>;

  JobIntake(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
            const JobCache &KnownJobs, const IntakeLimits &Limits);

  /// Receives the outcome and, for a rejected job, the delay after which the
  /// caller may retry; zero for no restriction.
  using SubmitCallback = std::function<void(Reason, Duration RetryAfter)>;

  /// Accepts a job, once for each id, or rejects it with
  /// Reason::DeadlineUnreachable if it cannot end in time. A rejected job
  /// never runs from this attempt or an earlier one. \p Deadline is the
  /// deadline of the caller's request.
  void submit(const JobSpec &Spec, TimePoint Deadline, SubmitCallback Done) {
    submit(Spec, Deadline, Reason::None, std::move(Done));
  }
  /// Rejects the job with \p Refusal unless that is Reason::None or the job is
  /// already accepted.
  void submit(const JobSpec &Spec, TimePoint Deadline, Reason Refusal,
              SubmitCallback Done);
  /// Cancels a job. A job that has ended already counts as success; an unknown
  /// one is answered with Reason::UnknownJob.
  void cancel(JobId Id, TimePoint Deadline, Callback Done);
  /// Reports the status recorded in the store shortly after the call or, if
  /// the store does not answer in time, the status that this daemon saw last.
  void status(JobId Id, StatusCallback Done);

private:
  /// A status request that waits for the store.
  struct StatusRequest;
  /// Creation of a key that may exist already, retried until its outcome is
  /// known.
  struct PendingCreate;

  /// Returns the retry delay if the job should be rejected under the current
  /// load, otherwise nullopt.
  std::optional<Duration> estimateAdmissionDelay(const JobSpec &Spec) const;
  void create(const std::shared_ptr<PendingCreate> &Write);
  void createAnswered(const std::shared_ptr<PendingCreate> &Write,
                      const TransactionResult &Result);
  void writeCancel(JobId Id, TimePoint Deadline, Callback Done);
  void readStatus(const std::shared_ptr<StatusRequest> &Request);
  void answerStatus(StatusRequest &Request);
  /// Checks in the store for a job that is missing in the cache.
  void lookUpInStore(JobId Id, std::function<void(Reason)> Done);

  AsyncStore &Store;
  Timers &Clock;
  DecisionLog &Log;
  const JobCache &KnownJobs;
  IntakeLimits Limits;
  std::uint32_t StatusReadsInFlight = 0;
};

} // namespace banyanworks::pool

#endif
