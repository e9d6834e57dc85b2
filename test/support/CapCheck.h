/// \file
/// Defines CapCheck, which checks after each start of a task that its workspace
/// holds no more than its cap.
#ifndef BANYANWORKS_TEST_SUPPORT_CAPCHECK_H
#define BANYANWORKS_TEST_SUPPORT_CAPCHECK_H

#include "support/PoolSimulation.h"

#include <string>
#include <utility>
#include <vector>

namespace banyanworks::testing {

/// Counts what runs on the workers, not what an owner believes to run. A start
/// may rely on any cap that was in force up to three seconds before its order
/// was sent, the time within which a configuration takes effect.
class CapCheck {
public:
  CapCheck(PoolSimulation &Simulation, double Overage);

  /// Puts the next version of the configuration, with these caps, in force at
  /// all daemons.
  void setCaps(std::map<WorkspaceId, Resources> Caps);
  /// Records new caps that the daemons receive at times of their own.
  void publishCaps(std::map<WorkspaceId, Resources> Caps);
  const std::vector<std::string> &violations() const { return Violations; }

private:
  void check(const pool::TaskKey &Task, TimePoint SentAt);

  PoolSimulation &Simulation;
  double Overage;
  std::vector<std::pair<TimePoint, std::map<WorkspaceId, Resources>>> Versions;
  std::vector<std::string> Violations;
};

} // namespace banyanworks::testing

#endif
