/// \file
/// Defines AdviceCache, which stores the adviser's responses on which workers
/// may run the steps of queues with an adviser.
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

/// Asks the adviser which of the given workers may run a step.
struct AdviceRequest {
  StepKey Step;
  /// Each worker with its incarnation at the time of the request; a ticket is
  /// valid only for that incarnation.
  std::vector<std::pair<WorkerId, Incarnation>> Workers;
  /// Expected time until the adviser answers.
  Duration ExpectedTime{};
};

/// The adviser's response to an AdviceRequest.
struct AdviceResponse {
  /// False if the adviser did not answer or had no time to decide.
  bool Answered = false;
  /// Workers that may run the step, each with the ticket that an order to start
  /// the step there has to carry.
  std::vector<std::pair<WorkerId, std::string>> Allowed;
  /// Validity of the tickets, counted from the response.
  Duration Validity{};
};

/// Caches tickets until they expire, and tells which workers the adviser may
/// still be asked about. The adviser's permission for a worker does not change,
/// but tickets expire and end with the incarnation of their worker.
class AdviceCache {
public:
  /// Returns the ticket for a step on a worker; null if there is no valid one.
  const std::string *ticket(const StepKey &Step, const PoolWorker &Worker,
                            TimePoint Now) const;
  /// Whether the adviser may be asked about the worker: not while a ticket is
  /// valid, and not after the worker was denied.
  bool mayAsk(const StepKey &Step, const PoolWorker &Worker,
              TimePoint Now) const;
  /// Records the adviser's response. The validity of tickets is counted from
  /// \p SentAt, the time of the request, because the response may have been
  /// delayed on its way.
  void recordResponse(const AdviceRequest &Request,
                      const AdviceResponse &Response, TimePoint SentAt);
  /// Drops the ticket after the worker rejected it.
  void dropTicket(const StepKey &Step, const WorkerId &Worker);
  void eraseJob(JobId Job);

private:
  struct Ticket {
    std::string Text;
    TimePoint ExpiresAt;
    Incarnation WorkerIncarnation;
  };
  struct StepAdvice {
    std::map<WorkerId, Ticket> Tickets;
    std::set<WorkerId> Denied;
  };

  std::map<StepKey, StepAdvice> Steps;
};

} // namespace banyanworks::pool

#endif
