/// \file
/// Defines PoolLoad, the accepted but unfinished work of a pool, which the
/// pool's owner publishes to all daemons.
#ifndef BANYANWORKS_POOL_POOLLOAD_H
#define BANYANWORKS_POOL_POOLLOAD_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "base/Units.h"
#include "base/WallTime.h"
#include "state/Store.h"

#include <cstdint>
#include <map>
#include <string>

namespace banyanworks::pool {

/// The load of one service's workers. Work is measured as the time that all
/// usable workers together need for it.
struct ServiceLoad {
  /// Capacity of the usable workers together; zero if it is not known.
  Resources Usable;
  /// Share of the workers' capacity that urgent work holds, 0 to 1.
  double UrgentShare = 0.0;
  /// Running and waiting work, by priority.
  std::map<std::uint32_t, Duration> Work;

  bool operator==(const ServiceLoad &) const = default;
};

struct PoolLoad {
  /// Time at which the owner measured the load, on its own clock. Ages are
  /// measured from the receipt instead, since the clocks of VMs jump.
  WallTime MeasuredAt;
  /// Jobs accepted up to this revision are part of the load. Zero if it is not
  /// known.
  StoreRevision Covers;
  std::map<ServiceId, ServiceLoad> Services;

  std::string encode() const;
  /// Parses the form that encode() writes. Fails on malformed text.
  static Outcome<PoolLoad> decode(const std::string &Text);

  bool operator==(const PoolLoad &) const = default;
};

} // namespace banyanworks::pool

#endif
