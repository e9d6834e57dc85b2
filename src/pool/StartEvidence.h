/// \file
/// Defines StartEvidence, what the answers to the start orders of a run show
/// about whether the run has started.
#ifndef BANYANWORKS_POOL_STARTEVIDENCE_H
#define BANYANWORKS_POOL_STARTEVIDENCE_H

#include "base/Time.h"
#include "pool/WorkerOrders.h"

#include <optional>

namespace banyanworks::pool {

/// A worker can only have crashed under a run that has started there. An order
/// that the worker refused, or of which nothing was sent, has started nothing;
/// one without an answer may have.
class StartEvidence {
public:
  /// Time within which a WorkerLink answers a start order; another answer still
  /// counts when it comes.
  static constexpr Duration AnswerTime = std::chrono::seconds(1);

  /// Handles a start order that is sent at \p Now.
  void ordered(TimePoint Now) { AwaitedSince = Now; }
  void answered(OrderResult Result);
  /// Handles a report that lists the run, or a run that an earlier owner may
  /// have ordered.
  void assumeStarted() { Started = true; }

  /// Whether an order was carried out, may have been, or is not answered yet.
  bool mayHaveStarted() const { return Started || AwaitedSince; }
  /// Whether the answer that is awaited at \p Now decides.
  bool isOpen(TimePoint Now) const {
    return !Started && AwaitedSince && Now - *AwaitedSince < AnswerTime;
  }

private:
  bool Started = false;
  /// When the order was sent whose answer is awaited.
  std::optional<TimePoint> AwaitedSince;
};

} // namespace banyanworks::pool

#endif
