/// \file
/// Defines HostControl, the interface through which the owner of a pool takes
/// worker hosts down for maintenance.
#ifndef BANYANWORKS_POOL_HOSTCONTROL_H
#define BANYANWORKS_POOL_HOSTCONTROL_H

#include "pool/MaintenanceWave.h"

#include <functional>
#include <optional>
#include <vector>

namespace banyanworks::pool {

/// Each callback is called exactly once, from the event loop.
class HostControl {
public:
  virtual ~HostControl() = default;

  /// Lists all hosts; nullopt if the platform did not answer.
  virtual void
  list(std::function<void(std::optional<std::vector<ListedHost>>)> Done) = 0;
  /// Takes the host down for the maintenance of \p Wave. All processes on the
  /// host end immediately. \p Token fences orders of earlier owners.
  virtual void takeDown(const HostId &Host, WaveNumber Wave, Epoch Token,
                        std::function<void(MaintenanceResult)> Done) = 0;
  /// Reads whether the wave was already reported as completed; nullopt if that
  /// cannot be determined now.
  virtual void wasCompleted(WaveNumber Wave,
                            std::function<void(std::optional<bool>)> Done) = 0;
  /// Reports the progress of a wave to the operators, unless the pool has
  /// another owner than that of \p Token. \p Done receives whether the report
  /// was delivered.
  virtual void report(WaveNumber Wave, bool Completed, Epoch Token,
                      std::function<void(bool Delivered)> Done) = 0;
};

} // namespace banyanworks::pool

#endif
