/// \file
/// Implements admissionDelay().
#include "pool/Admission.h"

#include "pool/JobObjective.h"
#include "pool/JobSpec.h"
#include "pool/JobWork.h"
#include "pool/PoolLoad.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// Share of a pool's capacity that non-urgent work can use. Up to a tenth is
/// kept for urgent gangs, and gangs leave gaps.
constexpr double UsableShare = 0.8;
/// Share of the pool that non-urgent work still gets over time, however much
/// urgent work arrives.
constexpr double MinShare = 0.1;
/// Callers overestimate run times by up to this factor. A job is rejected only
/// if it could not end in time even then: the queue order already puts late
/// jobs last, and rejecting a job that would have found capacity loses it for
/// nothing.
constexpr double MaxOverestimate = 2.5;
/// Shortest retry delay. A jitter of up to the delay itself is added on top.
constexpr Duration MinRetryDelay = std::chrono::seconds(1);
constexpr std::uint64_t JitterSteps = 16;

} // namespace

std::optional<Duration> admissionDelay(const JobSpec &Spec,
                                       const ServiceLoad &Load) {
  const QueueTerms &Terms = Spec.Terms;
  bool Unbounded = std::any_of(
      Spec.Steps.begin(), Spec.Steps.end(),
      [](const StepSpec &Step) { return Step.LongRunning || Step.FillsIdle; });
  if (Terms.Priority == 0 || Spec.isScheduled() || Unbounded)
    return std::nullopt;
  Duration WorkAhead{};
  for (const auto &[Priority, Time] : Load.Work)
    if (Priority != 0 && Priority <= Terms.Priority)
      WorkAhead += Time;
  double Share = std::max(MinShare, UsableShare - Load.UrgentShare);
  Duration CriticalPath = criticalPath(Spec);
  Duration Limit = objectiveOf(CriticalPath, Terms) * MaxLatenessFactor;
  // Work that may be queued ahead of a job that still ends in time.
  Duration MaxWorkAhead = scaled(Limit - CriticalPath, Share * MaxOverestimate);
  if (WorkAhead <= MaxWorkAhead)
    return std::nullopt;
  Duration RetryDelay =
      std::max(scaled(WorkAhead - MaxWorkAhead, 1.0 / Share), MinRetryDelay);
  return RetryDelay + RetryDelay *
                          static_cast<int>(Spec.Id.value() % JitterSteps) /
                          static_cast<int>(JitterSteps);
}

void addAcceptedJob(ServiceLoad &Load, const JobSpec &Spec) {
  Load.Work[Spec.Terms.Priority] += jobWork(Spec, Load.Usable);
}

} // namespace banyanworks::pool
