/// \file
/// Defines JobIntake, which accepts, shows and cancels jobs at any daemon.
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

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct TransactionResult;
} // namespace banyanworks

namespace banyanworks::pool {

class JobCache;

/// The time limits of a JobIntake.
struct IntakeLimits {
  /// How long one write to the store may take; above the slowest answers that
  /// a slow store still gives.
  Duration CallTimeout = std::chrono::milliseconds(1200);
  /// The pause before a write without an answer is repeated.
  Duration RetryDelay = std::chrono::milliseconds(50);
  /// How much of the caller's time is kept for the way back.
  Duration ReplyMargin = std::chrono::milliseconds(150);
  /// Callers ask for a job's state just when they expect its end. It is read so
  /// long after the question: by then an end that a worker has told is recorded
  /// (a turn of the owner and one write).
  Duration StatusReadDelay = std::chrono::milliseconds(25);
  /// If the store has not answered by then, the state that this daemon knew
  /// before is answered; many round trips.
  Duration StatusTimeout = std::chrono::milliseconds(150);
  /// How long a caller stays away whose job another daemon has just turned
  /// away.
  Duration MinRetryAfter = std::chrono::seconds(1);
  /// With so many reads under way the store is behind, and what is known is
  /// answered at once.
  std::uint32_t MaxStatusReads = 32;
  /// How recently the watch must have been confirmed for a waiting job to be
  /// shown from it; an idle watch is confirmed each second.
  Duration MaxWatchAge = std::chrono::milliseconds(1500);
};

/// Reason::None stands for success. The answer to a job whose write may still
/// take effect is Reason::OutcomeUnknown and never a refusal.
class JobIntake {
public:
  using Callback = std::function<void(Reason)>;
  /// The status, or why it is not known: Reason::UnknownJob or
  /// Reason::StoreUnavailable.
  using StatusCallback = std::function<void(Reason, JobStatus)>;

  JobIntake(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
            const JobCache &KnownJobs, const IntakeLimits &Limits);

  /// When a caller that was turned away may come back; zero for any time.
  using SubmitCallback = std::function<void(Reason, Duration RetryAfter)>;

  /// Accepts a job, once for each id, or turns it away with
  /// Reason::DeadlineUnreachable if it cannot end in time; then it never runs
  /// from this attempt or an earlier one. \p Deadline is the caller's.
  void submit(const JobSpec &Spec, TimePoint Deadline, SubmitCallback Done);
  void cancel(JobId Id, TimePoint Deadline, Callback Done);
  /// The status as it stands in the store shortly after the call, or, if the
  /// store does not answer soon, as this daemon saw it last.
  void status(JobId Id, StatusCallback Done);

private:
  /// A question for a job's status that waits for the store.
  struct StatusRequest;
  /// Creates a key that may exist already, until its outcome is known.
  struct PendingCreate;

  /// Whether and until when the job is better turned away.
  std::optional<Duration> estimateAdmissionDelay(const JobSpec &Spec) const;
  void create(const std::shared_ptr<PendingCreate> &Write);
  void createAnswered(const std::shared_ptr<PendingCreate> &Write,
                      const TransactionResult &Result);
  void writeCancel(JobId Id, TimePoint Deadline, Callback Done);
  void readStatus(const std::shared_ptr<StatusRequest> &Request);
  void answerStatus(StatusRequest &Request);
  /// Looks a job up in the store that the board does not know.
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
