/// \file
/// Defines HostControl, through which the owner of a pool takes hosts of
/// workers down for maintenance.
#ifndef BANYANWORKS_POOL_HOSTCONTROL_H
#define BANYANWORKS_POOL_HOSTCONTROL_H

#include "pool/MaintenanceWave.h"

#include <functional>
#include <optional>
#include <vector>

namespace banyanworks::pool {

/// Each call is answered exactly once, from the event loop.
class HostControl {
public:
  virtual ~HostControl() = default;

  /// All hosts; nothing if the platform did not answer.
  virtual void
  list(std::function<void(std::optional<std::vector<ListedHost>>)> Done) = 0;
  /// Everything that runs on the host ends at once.
  virtual void takeDown(const HostId &Host, WaveNumber Wave, Epoch Token,
                        std::function<void(MaintenanceResult)> Done) = 0;
  /// Whether the operators were told before that a wave is completed; nothing
  /// if that cannot be read now.
  virtual void wasCompleted(WaveNumber Wave,
                            std::function<void(std::optional<bool>)> Done) = 0;
  /// Tells the operators how far a wave is.
  virtual void report(WaveNumber Wave, bool Completed,
                      std::function<void(bool StatusReply)> Done) = 0;
};

} // namespace banyanworks::pool

#endif
