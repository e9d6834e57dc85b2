/// \file
/// Defines DomainDrain, how a failure domain leaves service and comes back.
#ifndef BANYANWORKS_JOBS_DOMAINDRAIN_H
#define BANYANWORKS_JOBS_DOMAINDRAIN_H

#include "base/Time.h"
#include "model/Configuration.h"

#include <cstdint>

namespace banyanworks {

/// What has to happen to the gangs that run.
enum class DrainAction : std::uint8_t {
  None,
  /// All that can checkpoint do so; the others run on.
  CheckpointAll,
  /// All that can checkpoint do so within the grace; the others stop.
  EndAll,
  /// All stop at once.
  StopAll,
};

/// Follows the configuration of one failure domain. Once it is out nothing
/// starts, and what runs is drained by its policy. Once it is back, starts are
/// admitted gradually, guarantees before loans.
class DomainDrain {
public:
  /// Takes the domain's entry of a newer configuration.
  void configure(const FailureDomain &Domain, TimePoint Now);
  /// A new owner gives the orders of a domain that is out once more.
  void repeatActions(TimePoint Now);
  /// The order that is due now; each is given once.
  DrainAction takeAction(TimePoint Now);

  bool inService() const { return InService; }
  /// Counts one gang that is about to start; false if it has to wait, since
  /// the domain came back only a short time ago.
  bool admitStart(bool UnderGuarantee, std::uint32_t Members, TimePoint Now);
  /// True while starts are admitted gradually.
  bool rampingUp(TimePoint Now) const { return Now < RampUpEnd; }
  /// When takeOrder or admitStart may answer otherwise.
  TimePoint deadline(TimePoint Now) const;

private:
  std::uint64_t allowance(TimePoint Now) const;

  bool Configured = false;
  bool InService = false;
  DrainPolicy Policy = DrainPolicy::Checkpoint;
  TimePoint DrainDeadline = TimePoint::max();
  /// True once the order at the end of the drain was given.
  bool DeadlineActionTaken = false;
  DrainAction PendingAction = DrainAction::None;
  TimePoint RampUpStart;
  TimePoint RampUpEnd = TimePoint::min();
  std::uint64_t StartedMembers = 0;
};

} // namespace banyanworks

#endif
