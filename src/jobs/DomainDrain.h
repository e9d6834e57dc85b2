/// \file
/// Defines DomainDrain, which drains a failure domain out of service and limits
/// starts after its return.
#ifndef BANYANWORKS_JOBS_DOMAINDRAIN_H
#define BANYANWORKS_JOBS_DOMAINDRAIN_H

#include "base/Time.h"
#include "model/Configuration.h"

#include <cstdint>

namespace banyanworks {

/// The action to take on the running gangs of a draining domain.
enum class DrainAction : std::uint8_t {
  None,
  /// Checkpoint the checkpointable gangs; the others keep running.
  CheckpointAll,
  /// Checkpoint the checkpointable gangs within the grace period; stop the
  /// others.
  EndAll,
  /// Stop all gangs immediately.
  StopAll,
};

/// Tracks the configuration of one failure domain. While the domain is out of
/// service no gang starts, and running gangs are drained according to the drain
/// policy. After its return starts are admitted gradually, guaranteed gangs
/// before borrowing ones.
class DomainDrain {
public:
  /// Applies the domain's entry of a newer configuration.
  void configure(const FailureDomain &Domain, TimePoint Now);
  /// Makes the actions of a drain in progress due again, for a new owner.
  void repeatActions(TimePoint Now);
  /// Returns the action that is due at \p Now; each is returned once.
  DrainAction takeAction(TimePoint Now);

  bool inService() const { return InService; }
  /// Admits a gang that is about to start and counts its members against the
  /// allowance. Returns false if the gang has to wait because the domain
  /// returned to service recently.
  bool admitStart(bool UnderGuarantee, std::uint32_t Members, TimePoint Now);
  /// True while starts are rate-limited.
  bool rampingUp(TimePoint Now) const { return Now < RampUpEnd; }
  /// The earliest time at which takeAction or admitStart may return another
  /// result.
  TimePoint deadline(TimePoint Now) const;

private:
  std::uint64_t allowance(TimePoint Now) const;

  bool Configured = false;
  bool InService = false;
  DrainPolicy Policy = DrainPolicy::Checkpoint;
  TimePoint DrainDeadline = TimePoint::max();
  /// True once the action at the drain deadline was taken.
  bool DeadlineActionTaken = false;
  DrainAction PendingAction = DrainAction::None;
  TimePoint RampUpStart;
  TimePoint RampUpEnd = TimePoint::min();
  std::uint64_t StartedMembers = 0;
};

} // namespace banyanworks

#endif
