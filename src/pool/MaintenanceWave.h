/// \file
/// Defines MaintenanceWave, hosts of workers that are to be taken down for
/// maintenance one after the other, and what is known of these hosts.
#ifndef BANYANWORKS_POOL_MAINTENANCEWAVE_H
#define BANYANWORKS_POOL_MAINTENANCEWAVE_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace banyanworks::pool {

/// The host of a worker; it stays when the worker is replaced.
using HostId = Name<struct HostTag>;
using WaveNumber = Number<struct WaveTag>;

struct MaintenanceWave {
  WaveNumber Wave;
  std::vector<HostId> Hosts;
  /// All hosts are to be through so long after the wave was asked for.
  Duration TimeLimit{};
  /// The most hosts that may be down at once.
  std::uint32_t MaxDown = 1;

  bool operator==(const MaintenanceWave &) const = default;
};

enum class HostState : std::uint8_t { Up, Moving, InMaintenance, Down };

/// A host as the platform lists it.
struct ListedHost {
  HostId Host;
  HostState State = HostState::Down;
  /// The worker that runs there; empty if none does.
  WorkerId Worker;
};

/// What became of the order to take a host down.
enum class MaintenanceResult : std::uint8_t {
  /// Its maintenance has begun, or is over.
  Done,
  /// It cannot be taken down now.
  Busy,
  /// It is no host of the wave, or no host at all.
  NotInWave,
  /// Another owner has given orders under a higher token.
  Fenced,
  /// Nothing was heard; it may be carried out now or later.
  NoAnswer,
};

} // namespace banyanworks::pool

#endif
