/// \file
/// Defines AdviceBook, what an adviser has said of the workers that may run
/// the steps of advised queues.
#ifndef BANYANWORKS_POOL_ADVICECACHE_H
#define BANYANWORKS_POOL_ADVICECACHE_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/TaskKey.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanworks::pool {

struct PoolWorker;

/// Asks which of some workers may run a step.
struct AdviceQuestion {
  StepKey Step;
  /// Each with its life when the question is asked; a ticket ends with it.
  std::vector<std::pair<WorkerId, Incarnation>> Workers;
  /// How long the adviser takes for this answer.
  Duration Expected{};
};

/// The adviser's answer.
struct AdviceAnswer {
  /// False if it did not answer, or had no time to.
  bool Answered = false;
  /// The workers that may run the step, each with the ticket that a start there
  /// has to carry.
  std::vector<std::pair<WorkerId, std::string>> Allowed;
  /// How long the tickets hold from the answer on.
  Duration Validity{};
};

/// Keeps tickets while they hold, and says which question comes next. What the
/// adviser allows does not change, but tickets run out and end with the life of
/// their worker.
class AdviceCache {
public:
  /// The ticket for a step on a worker; null if there is none that holds.
  const std::string *ticket(const StepKey &Step, const PoolWorker &Worker,
                            TimePoint Now) const;
  /// Whether the adviser may still be asked about the worker: not while a
  /// ticket holds, and not after the worker was not allowed.
  bool mayAsk(const StepKey &Step, const PoolWorker &Worker,
              TimePoint Now) const;
  /// \p SentAt is when the question was sent; tickets are counted from there,
  /// since the adviser's answer may have been on its way for long.
  void recordResponse(const AdviceQuestion &Question,
                      const AdviceAnswer &Answer, TimePoint SentAt);
  /// The worker did not accept the ticket.
  void dropTicket(const StepKey &Step, const WorkerId &Worker);
  void eraseJob(JobId Job);

private:
  struct Ticket {
    std::string Text;
    TimePoint ExpiresAt;
    Incarnation Life;
  };
  struct StepAdvice {
    std::map<WorkerId, Ticket> Tickets;
    std::set<WorkerId> Denied;
  };

  std::map<StepKey, StepAdvice> Steps;
};

} // namespace banyanworks::pool

#endif
