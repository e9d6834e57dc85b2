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
constexpr double LeastShare = 0.1;
/// Callers' estimates are up to this many times too long. A job is turned away
/// only if it could not end in time even then: the order of the queue already
/// puts what is too late behind what is not, and a job that is turned away
/// although it had found room is lost for nothing.
constexpr double EstimateError = 2.5;
/// Callers come back at least so much later, and spread over as much again.
constexpr Duration LeastWait = std::chrono::seconds(1);
constexpr std::uint64_t SpreadSteps = 16;

} // namespace

std::optional<Duration> admissionDelay(const JobSpec &Spec,
                                       const ServiceLoad &Load) {
  const QueueTerms &Terms = Spec.Terms;
  bool Lasts = std::any_of(
      Spec.Steps.begin(), Spec.Steps.end(),
      [](const StepSpec &Step) { return Step.LongRunning || Step.FillsIdle; });
  if (Terms.Priority == 0 || Spec.scheduled() || Lasts)
    return std::nullopt;
  Duration Ahead{};
  for (const auto &[Priority, Time] : Load.Work)
    if (Priority != 0 && Priority <= Terms.Priority)
      Ahead += Time;
  double Share = std::max(LeastShare, UsableShare - Load.UrgentShare);
  Duration Chain = longestChain(Spec);
  Duration Limit = objectiveOf(Chain, Terms) * LateFactor;
  // So much work may be ahead of a job that still ends in time.
  Duration Most = scaled(Limit - Chain, Share * EstimateError);
  if (Ahead <= Most)
    return std::nullopt;
  Duration Wait = std::max(scaled(Ahead - Most, 1.0 / Share), LeastWait);
  return Wait + Wait * static_cast<int>(Spec.Id.value() % SpreadSteps) /
                    static_cast<int>(SpreadSteps);
}

} // namespace banyanworks::pool
