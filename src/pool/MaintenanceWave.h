/// \file
/// Defines MaintenanceWave, a set of worker hosts that are taken down for
/// maintenance in turn, and the states of these hosts.
#ifndef BANYANWORKS_POOL_MAINTENANCEWAVE_H
#define BANYANWORKS_POOL_MAINTENANCEWAVE_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace banyanworks::pool {

/// Identifies a host; the id stays when the worker on the host is replaced.
using HostId = Name<struct HostTag>;
using WaveNumber = Number<struct WaveTag>;

struct MaintenanceWave {
  WaveNumber Wave;
  std::vector<HostId> Hosts;
  /// Time within which all hosts should be maintained, counted from the
  /// request.
  Duration TimeLimit{};
  /// Maximum number of hosts that may be down at a time.
  std::uint32_t MaxDown = 1;

  bool operator==(const MaintenanceWave &) const = default;
};

enum class HostState : std::uint8_t { Up, Moving, InMaintenance, Down };

/// A host in the platform's list.
struct ListedHost {
  HostId Host;
  HostState State = HostState::Down;
  /// The worker on the host; empty if there is none.
  WorkerId Worker;
};

/// Result of an order to take a host down.
enum class MaintenanceResult : std::uint8_t {
  /// The maintenance of the host has begun or is complete.
  Done,
  /// The host cannot be taken down now.
  Busy,
  /// The host does not belong to the wave or does not exist.
  NotInWave,
  /// Another owner has issued orders with a higher token.
  Fenced,
  /// No answer arrived; the order may be executed now or later.
  NoAnswer,
};

} // namespace banyanworks::pool

#endif
