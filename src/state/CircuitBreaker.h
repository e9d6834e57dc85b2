/// \file
/// Defines CircuitBreaker, which stops calls to a store that does not answer
/// and lets one probe through from time to time.
#ifndef BANYANWORKS_STATE_CIRCUITBREAKER_H
#define BANYANWORKS_STATE_CIRCUITBREAKER_H

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace banyanworks {

/// Opens after several failures in a row. While open it admits one probe per
/// period; the period doubles with each failed probe up to a limit.
class CircuitBreaker {
public:
  struct Options {
    std::uint32_t FailureThreshold = 4;
    Duration InitialProbePeriod = std::chrono::milliseconds(500);
    Duration MaxProbePeriod = std::chrono::seconds(2);
  };

  CircuitBreaker() = default;
  explicit CircuitBreaker(const Options &Settings) : Settings(Settings) {}

  bool isOpen() const { return Failures >= Settings.FailureThreshold; }
  /// True if a call may be sent now.
  bool allowsCall(TimePoint Now) const { return !isOpen() || Now >= NextProbe; }
  /// Tells that a call was sent; while open it is the probe of this period.
  void recordSend(TimePoint Now) {
    if (isOpen())
      NextProbe = Now + ProbePeriod;
  }
  void recordSuccess() {
    Failures = 0;
    ProbePeriod = Settings.InitialProbePeriod;
  }
  void recordFailure(TimePoint Now) {
    ++Failures;
    if (Failures > Settings.FailureThreshold)
      ProbePeriod = std::min(ProbePeriod * 2, Settings.MaxProbePeriod);
    if (isOpen())
      NextProbe = Now + ProbePeriod;
  }
  /// When the next probe may go out; meaningful while open.
  TimePoint nextProbe() const { return NextProbe; }

private:
  Options Settings;
  std::uint32_t Failures = 0;
  Duration ProbePeriod = Settings.InitialProbePeriod;
  TimePoint NextProbe;
};

} // namespace banyanworks

#endif
