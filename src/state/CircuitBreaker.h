/// \file
/// Defines CircuitBreaker, which stops calls to a store that does not answer
/// and admits periodic probes.
#ifndef BANYANWORKS_STATE_CIRCUITBREAKER_H
#define BANYANWORKS_STATE_CIRCUITBREAKER_H

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace banyanworks {

/// Opens after FailureThreshold consecutive failures. An open breaker admits
/// one probe per period; the period doubles with each failed probe up to
/// MaxProbePeriod.
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
  /// Records that a call was sent. While the breaker is open, the call is the
  /// probe of the current period.
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
  /// The earliest time of the next probe; meaningful only while open.
  TimePoint nextProbe() const { return NextProbe; }

private:
  Options Settings;
  std::uint32_t Failures = 0;
  Duration ProbePeriod = Settings.InitialProbePeriod;
  TimePoint NextProbe;
};

} // namespace banyanworks

#endif
