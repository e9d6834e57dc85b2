/// \file
/// Defines ReserveAccess, which decides whether a step that is not urgent may
/// start on workers of the urgent reserve.
#ifndef BANYANWORKS_POOL_RESERVEACCESS_H
#define BANYANWORKS_POOL_RESERVEACCESS_H

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace banyanworks::pool {

/// A step that finds no free resources outside the reserve.
struct ReserveDemand {
  ServiceId Service;
  /// Tasks that have to start together: all of a gang, otherwise one.
  std::uint32_t Tasks = 1;
  /// Tasks that the workers outside the reserve could run if nothing else ran
  /// there; counted up to Tasks.
  std::uint32_t FittingOutside = 0;
  /// The step is long-running, and a waiting task of it has run before.
  bool RestoresService = false;
  /// Workers are kept for a gang that waits. The reserve would move to them if
  /// its own workers were used.
  bool GangWaits = false;
};

/// Why a step may use the reserve.
enum class ReserveGrant : std::uint8_t {
  /// It may not.
  None,
  /// No other workers suit the step, so that it would wait for as long as they
  /// are reserved.
  NoOtherWorkers,
  /// A task that serves until it is cancelled has lost its worker.
  RestoresService,
  /// Urgent work finds free resources outside the reserve as well.
  IdlePool,
};

std::string_view grantName(ReserveGrant Grant);

/// The reserve is chosen by free accelerators and racks, so that it may hold
/// the last workers with a label, with enough memory, or without another task
/// of a step that limits its tasks on one worker. A step that only these can
/// run must not wait for the reserve to move.
class ReserveAccess {
public:
  /// A service of which no larger share of the accelerators is in use counts as
  /// idle.
  static constexpr double IdleShare = 0.5;

  /// Removes all workers.
  void clear() { Uses.clear(); }
  /// Adds a worker that accepts tasks, with the accelerators in use there.
  void addWorker(const ServiceId &Service, std::int32_t Accelerators,
                 std::int32_t Used);
  /// Adds to the accelerators in use on the workers of a service; a negative
  /// number frees them.
  void addUse(const ServiceId &Service, std::int32_t Accelerators);

  ReserveGrant decide(const ReserveDemand &Demand) const;

private:
  struct ServiceUse {
    std::int64_t Accelerators = 0;
    std::int64_t Used = 0;
  };
  bool isIdle(const ServiceId &Service) const;

  std::map<ServiceId, ServiceUse> Uses;
};

} // namespace banyanworks::pool

#endif
