/// \file
/// Defines PoolLoad, how much accepted work waits for a pool, as its owner
/// tells all daemons.
#ifndef BANYANWORKS_POOL_POOLLOAD_H
#define BANYANWORKS_POOL_POOLLOAD_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace banyanworks::pool {

/// The load of one service's workers. Work is given as the time that all usable
/// workers together would need for it.
struct ServiceLoad {
  /// The share of the workers that urgent work uses.
  double UrgentShare = 0.0;
  /// What runs and waits, by priority.
  std::map<std::uint32_t, Duration> Work;

  bool operator==(const ServiceLoad &) const = default;
};

struct PoolLoad {
  std::map<ServiceId, ServiceLoad> Services;

  std::string encode() const;
  /// Fails on malformed text.
  static Outcome<PoolLoad> decode(const std::string &Text);

  bool operator==(const PoolLoad &) const = default;
};

} // namespace banyanworks::pool

#endif
