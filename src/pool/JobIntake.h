/// \file
/// Defines JobIntake, through which any daemon accepts, reports and cancels
/// jobs.
#ifndef BANYANWORKS_POOL_JOBINTAKE_H
#define BANYANWORKS_POOL_JOBINTAKE_H

#include "base/Reason.h"
#include "base/Time.h"
#include "pool/CancelMarks.h"
#include "pool/JobSpec.h"
#include "pool/JobStatus.h"
#include "state/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct TransactionResult;
} // namespace banyanworks

namespace banyanworks::pool {

class JobCache;
class StoreHealth;
struct ServiceLoad;

/// Timeouts and limits of a JobIntake.
struct IntakeLimits {
  /// Timeout of one write to the store; exceeds the slowest response of a slow
  /// store.
  Duration CallTimeout = std::chrono::milliseconds(1200);
  /// Delay before a write that may have taken effect is repeated after it has
  /// failed, and the minimum time for one write.
  Duration RetryDelay = std::chrono::milliseconds(50);
  /// Time after which a write without an answer is sent again while the first
  /// copy is still awaited; above the response time of a slow store (0.4 s),
  /// so that such a store gets no additional load.
  Duration ResendInterval = std::chrono::milliseconds(500);
  /// Part of the caller's deadline, before ReplyMargin, in which a write with
  /// an unknown outcome is superseded by a refusal marker; longer than the
  /// response time of a slow store.
  Duration RefusalTime = std::chrono::milliseconds(500);
  /// Interval at which the refusal marker is sent again while it is
  /// unanswered, so that a store that returns shortly before the deadline
  /// still answers.
  Duration RefusalInterval = std::chrono::milliseconds(100);
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
  /// answered from the cache. The view of an idle watch reaches an age of
  /// WatchTiming::MaxAge, and the response time of the store.
  Duration MaxWatchAge = std::chrono::milliseconds(2200);
  /// Longest value that the store takes. A job that does not fit is rejected
  /// with Reason::InvalidArgument.
  std::size_t MaxValueBytes = MaxStoreValueBytes;
  /// Whether jobs that were accepted after the load was measured are added to
  /// it; false to admit by the published load alone.
  bool AddsAcceptedJobs = true;
};

/// Accepts, reports and cancels jobs. Reason::None means success.
///
/// While the store is known to be unavailable, requests that need a write are
/// rejected with Reason::StoreUnavailable before anything is written. A write
/// that was sent and not answered is sent again until its outcome is known.
/// Each copy has the same condition, so that at most one takes effect, and a
/// copy that is rejected shows what the key holds. Shortly before the caller's
/// deadline a job's write is superseded by a refusal marker, whose success
/// proves that no copy was or will be applied. If a write may still take effect
/// at the deadline, the answer is Reason::OutcomeUnknown, never a rejection.
class JobIntake {
public:
  using Callback = std::function<void(Reason)>;
  /// The status, or the reason why it is not known: Reason::UnknownJob or
  /// Reason::StoreUnavailable.
  using StatusCallback = std::function<void(Reason, JobStatus)>;

  /// \p Health describes \p Store; null if outages are not detected.
  JobIntake(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
            const JobCache &KnownJobs, const StoreHealth *Health,
            const IntakeLimits &Limits);

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
  /// Cancels a job. A job that has ended already counts as success. An unknown
  /// one is marked as cancelled for CancelMarks::Retention, so that a
  /// submission that is on its way cannot create it, and answered with
  /// Reason::UnknownJob; with Reason::RateLimited if too many ids are marked.
  /// While the store is out of reach, nothing is cancelled:
  /// Reason::StoreUnavailable, or Reason::OutcomeUnknown after a write without
  /// an answer.
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
  /// A job that this daemon has written or is writing, and that its cache may
  /// not show yet.
  struct UnseenJob {
    JobSpec Spec;
    TimePoint ExpiresAt;
  };

  /// Returns the retry delay if the job should be rejected under the current
  /// load, otherwise nullopt.
  std::optional<Duration> estimateAdmissionDelay(const JobSpec &Spec);
  /// Adds the jobs accepted since, except \p Spec itself, to the published
  /// load of its service.
  void addAcceptedJobs(const JobSpec &Spec, ServiceLoad &Load) const;
  /// Runs \p Work, or \p Reject with a retry time if the store is unavailable.
  void unlessUnavailable(JobId Id, std::function<void()> Work,
                         std::function<void(Duration RetryAfter)> Reject);
  /// Starts the creation of the key of \p Write. If it is \p Refusable, it is
  /// superseded by a refusal marker when its outcome stays unknown.
  void startCreate(const std::shared_ptr<PendingCreate> &Write,
                   TimePoint Deadline, bool Refusable);
  /// Sends one copy of the write, and further ones while it is unanswered.
  void create(const std::shared_ptr<PendingCreate> &Write);
  void scheduleCopy(const std::shared_ptr<PendingCreate> &Write,
                    Duration Delay);
  void createAnswered(const std::shared_ptr<PendingCreate> &Write,
                      StoreRevision ReplacedVersion, bool RefusalSent,
                      const TransactionResult &Result);
  void finishCreate(PendingCreate &Write, Reason Outcome,
                    StoreRevision Version);
  void writeCancel(JobId Id, TimePoint Deadline, Callback Done);
  /// Cancels a job that this daemon's cache does not show.
  void cancelUnknown(JobId Id, TimePoint Deadline, Callback Done);
  /// Writes the mark of a cancelled job, unless the job exists.
  void writeCancelMark(JobId Id, StoreLeaseId Lease, TimePoint Deadline,
                       Callback Done);
  /// Calls \p Work with a lease for a mark; with nothing if the store grants
  /// none.
  void
  withMarkLease(std::function<void(std::optional<StoreLeaseId> Lease)> Work);
  void readStatus(const std::shared_ptr<StatusRequest> &Request);
  void answerStatus(StatusRequest &Request);
  /// Checks in the store for a job that is missing in the cache.
  void lookUpInStore(JobId Id, std::function<void(Reason)> Done);

  AsyncStore &Store;
  Timers &Clock;
  DecisionLog &Log;
  const JobCache &KnownJobs;
  const StoreHealth *Health;
  IntakeLimits Limits;
  std::uint32_t StatusReadsInFlight = 0;
  std::map<JobId, UnseenJob> UnseenJobs;
  CancelMarks Marks;
  /// Marks that wait for the lease that was requested.
  std::vector<std::function<void(std::optional<StoreLeaseId>)>> LeaseWaiters;
};

} // namespace banyanworks::pool

#endif
