/// \file
/// Defines FakeAdviser, which allows workers by a rule and issues tickets that
/// expire, in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_FAKEADVISER_H
#define BANYANWORKS_TEST_SUPPORT_FAKEADVISER_H

#include "pool/Adviser.h"
#include "pool/WorkerOrders.h"
#include "support/VirtualClock.h"

#include <functional>
#include <map>
#include <string>

namespace banyanworks::testing {

class FakeAdviser : public pool::Adviser {
public:
  explicit FakeAdviser(VirtualClock &Clock) : Clock(Clock) {}

  std::function<bool(const WorkerId &)> Allows = [](const WorkerId &) {
    return true;
  };
  Duration Validity = std::chrono::seconds(3);
  bool Unresponsive = false;

  void ask(const pool::AdviceRequest &Request,
           std::function<void(pool::AdviceResponse)> Done) override;
  /// Whether the order carries an unexpired ticket for its step and worker;
  /// for use as FakeWorkerPool::AcceptsTicket.
  bool accepts(const pool::StartOrder &Order) const;

  std::size_t requestCount() const { return RequestCount; }
  std::size_t maxConcurrent() const { return MaxConcurrent; }

private:
  struct IssuedTicket {
    pool::StepKey Step;
    WorkerId Worker;
    TimePoint ExpiresAt;
  };

  VirtualClock &Clock;
  std::map<std::string, IssuedTicket> Tickets;
  std::size_t RequestCount = 0;
  std::size_t InFlight = 0;
  std::size_t MaxConcurrent = 0;
};

} // namespace banyanworks::testing

#endif
