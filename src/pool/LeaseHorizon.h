/// \file
/// Defines LeaseHorizon, the time by which the leases that an owner grants to
/// workers have ended, as its successor computes it.
#ifndef BANYANWORKS_POOL_LEASEHORIZON_H
#define BANYANWORKS_POOL_LEASEHORIZON_H

#include "base/Time.h"

#include <string_view>

namespace banyanworks::pool {

/// Times that all daemons have in common.
struct LeaseTimes {
  /// Lifetime of the ownership lease after a renewal.
  Duration Ownership{};
  /// Time for which an owner without a renewal acts.
  Duration RenewWithoutStore{};
  /// Time after a renewal of the ownership for which workers are granted their
  /// longest lease.
  Duration FullLeases{};
  /// Longest lease of a worker.
  Duration WorkerLease{};
};

/// A successor cannot tell whether its predecessor has ended or only lost the
/// store, and may not start what a worker beyond its reach could still run. So
/// an owner lets no lease outlast a time that depends on its last renewal of
/// the ownership alone. The successor knows when that renewal was made at the
/// latest, as the ownership lease had ended when it took over.
class LeaseHorizon {
public:
  /// Time that a worker takes to end a run whose lease is over.
  static constexpr Duration ExpirySlack = std::chrono::milliseconds(200);

  explicit LeaseHorizon(const LeaseTimes &Times) : Times(Times) {}

  /// Time by which the leases granted by an owner end at the latest.
  TimePoint grantsEndBy(TimePoint RenewedAt) const {
    return RenewedAt + Times.FullLeases + Times.WorkerLease;
  }

  /// Prepares a takeover. \p LastHead is the head that the predecessor wrote;
  /// empty if there was none.
  void startTakeover(std::string_view LastHead);
  /// Handles the takeover at \p Now.
  void takenOver(TimePoint Now);
  /// Time by which all leases of earlier owners have ended; unlimited until the
  /// takeover.
  TimePoint earlierLeasesEndBy() const { return EarlierEndBy; }
  /// The marker to end the next value of the head with.
  std::string_view markerAt(TimePoint Now) const;

private:
  LeaseTimes Times;
  TimePoint EarlierEndBy;
  bool EarlierAreLimited = false;
};

} // namespace banyanworks::pool

#endif
