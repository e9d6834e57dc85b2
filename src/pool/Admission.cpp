/// \file
/// Implements admissionDelay().
#include "pool/Admission.h"

#include "pool/JobObjective.h"
#include "pool/JobSpec.h"
#include "pool/PoolLoad.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// The share of a pool that work of lower priorities can really use: up to a
/// tenth is kept for urgent gangs, and gangs leave gaps.
constexpr double UsableShare = 0.8;
/// Even a flood of urgent work leaves this share in time.
constexpr double MinShare = 0.1;
/// Callers' estimates are up to this many times too long. A job is turned away
/// only if it could not end in time even then: the order of the queue already
/// puts what is too late behind what is not, and a job that is turned away
/// although it had found room is lost for nothing.
constexpr double MaxOverestimate = 2.5;
/// Callers come back at least so much later, and spread over as much again.
constexpr Duration MinRetryDelay = std::chrono::seconds(1);
constexpr std::uint64_t JitterSteps = 16;

} // namespace

std::optional<Duration> admissionDelay(const JobSpec &Spec,
                                       const ServiceLoad &Load) {
  const QueueTerms &Terms = Spec.Terms;
  bool Unbounded = std::any_of(
      Spec.Steps.begin(), Spec.Steps.end(),
      [](const StepSpec &Step) { return Step.LongRunning || Step.FillsIdle; });
  if (Terms.Priority == 0 || Spec.scheduled() || Unbounded)
    return std::nullopt;
  Duration WorkAhead{};
  for (const auto &[Priority, Time] : Load.Work)
    if (Priority != 0 && Priority <= Terms.Priority)
      WorkAhead += Time;
  double Share = std::max(MinShare, UsableShare - Load.UrgentShare);
  Duration CriticalPath = longestChain(Spec);
  Duration Limit = objectiveOf(CriticalPath, Terms) * LateFactor;
  // So much work may be ahead of a job that still ends in time.
  Duration MaxWorkAhead = scaled(Limit - CriticalPath, Share * MaxOverestimate);
  if (WorkAhead <= MaxWorkAhead)
    return std::nullopt;
  Duration RetryDelay =
      std::max(scaled(WorkAhead - MaxWorkAhead, 1.0 / Share), MinRetryDelay);
  return RetryDelay + RetryDelay *
                          static_cast<int>(Spec.Id.value() % JitterSteps) /
                          static_cast<int>(JitterSteps);
}

} // namespace banyanworks::pool
