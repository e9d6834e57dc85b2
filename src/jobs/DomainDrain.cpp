/// \file
/// Implements how a failure domain leaves service and comes back.
#include "jobs/DomainDrain.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

/// After a return, starts are admitted gradually for this long.
constexpr Duration RampUpDuration = std::chrono::seconds(30);

/// Members on lent capacity wait this long after a return, so that guarantees
/// come first.
constexpr Duration BorrowedStartDelay = std::chrono::seconds(2);

/// Members that may start each second after a return, doubling each second.
constexpr std::uint64_t InitialAllowance = 16;

constexpr Duration AllowanceStep = std::chrono::seconds(1);

} // namespace

void DomainDrain::configure(const FailureDomain &Domain, TimePoint Now) {
  bool WasInService = std::exchange(InService, Domain.In);
  bool FirstConfiguration = !std::exchange(Configured, true);
  Policy = Domain.Drain;
  if (InService) {
    DrainDeadline = TimePoint::max();
    PendingAction = DrainAction::None;
    if (WasInService || FirstConfiguration)
      return;
    RampUpStart = Now;
    RampUpEnd = Now + RampUpDuration;
    StartedMembers = 0;
    return;
  }
  if (!WasInService && !FirstConfiguration)
    return;
  DrainDeadline = Now + Domain.DrainDeadline;
  DeadlineActionTaken = false;
  PendingAction = Policy == DrainPolicy::Checkpoint ? DrainAction::CheckpointAll
                                                    : DrainAction::None;
}

void DomainDrain::repeatActions(TimePoint Now) {
  if (InService || !Configured)
    return;
  if (Policy == DrainPolicy::Checkpoint)
    PendingAction = DrainAction::CheckpointAll;
  if (DeadlineActionTaken)
    DrainDeadline = Now;
}

DrainAction DomainDrain::takeAction(TimePoint Now) {
  if (InService)
    return DrainAction::None;
  if (Now >= DrainDeadline) {
    DrainDeadline = TimePoint::max();
    DeadlineActionTaken = true;
    PendingAction = DrainAction::None;
    return Policy == DrainPolicy::Finish ? DrainAction::EndAll
                                         : DrainAction::StopAll;
  }
  return std::exchange(PendingAction, DrainAction::None);
}

std::uint64_t DomainDrain::allowance(TimePoint Now) const {
  constexpr std::int64_t MaxDoublings = 30;
  std::int64_t Steps =
      std::min(MaxDoublings, (Now - RampUpStart) / AllowanceStep);
  return InitialAllowance << Steps;
}

bool DomainDrain::admitStart(bool UnderGuarantee, std::uint32_t Members,
                             TimePoint Now) {
  if (!rampingUp(Now))
    return true;
  if (!UnderGuarantee && Now < RampUpStart + BorrowedStartDelay)
    return false;
  // The first gang of a step is admitted whatever its size.
  if (StartedMembers >= allowance(Now))
    return false;
  StartedMembers += Members;
  return true;
}

TimePoint DomainDrain::deadline(TimePoint Now) const {
  if (!InService)
    return PendingAction == DrainAction::None ? DrainDeadline : Now;
  if (!rampingUp(Now))
    return TimePoint::max();
  std::int64_t Steps = (Now - RampUpStart) / AllowanceStep;
  return RampUpStart + (Steps + 1) * AllowanceStep;
}

} // namespace banyanworks
