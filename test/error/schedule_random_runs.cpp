/// \file
/// Seeded random runs of one scheduler and its workers under message loss,
/// duplication and delay, worker losses, changes of owner, and a domain that
/// goes out of service and returns. The rig checks the invariants after every
/// step.
#include "support/ScheduleRig.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;
using namespace std::chrono_literals;

namespace {

struct RandomRun {
  explicit RandomRun(std::uint64_t Seed)
      : Rng(Seed * 7919 + 1), Rig(settings(Seed)) {}

  static RigSettings settings(std::uint64_t Seed) {
    RigSettings Result = smallRigSettings(6);
    Result.WorkersPerRack = 3;
    Result.Seed = Seed;
    Random Rng(Seed);
    Result.Link.Loss = Rng.uniform() * 0.2;
    Result.Link.Duplication = Rng.uniform() * 0.2;
    Result.Link.MaxDelay = std::chrono::milliseconds(
        1 + Rng.below(Rng.withProbability(0.3) ? 900 : 50));
    return Result;
  }

  void submitOne() {
    JobSpec Spec = gang(1 + Rng.below(Rng.withProbability(0.2) ? 6 : 2),
                        static_cast<std::int32_t>(Rng.below(5)));
    Spec.Checkpointable = Rng.withProbability(0.5);
    Spec.MaxRestarts = 50;
    Spec.Urgency = static_cast<Priority>(Rng.below(3));
    Ids.push_back(Rig.submit(Spec, Duration(1s) * (1 + Rng.below(90))));
  }

  void injectFault() {
    WorkerId Id = Rig.workerId(Rng.below(6));
    switch (Rng.below(9)) {
    case 0:
      return Rig.killWorker(Id);
    case 1:
    case 2:
      return Rig.reviveWorker(Id);
    case 3:
      return Rig.setWorkerPartitioned(Id, Rng.withProbability(0.5));
    case 4:
      Rig.loseOwner();
      Rig.runFor(std::chrono::milliseconds(Rng.below(8000)));
      return Rig.gainOwner(Rng.withProbability(0.7));
    case 5:
      return Rig.setDomainInService(Rng.withProbability(0.6),
                                    static_cast<DrainPolicy>(Rng.below(3)),
                                    20s);
    case 6:
      Rig.renewPermission() = Rng.withProbability(0.8);
      return;
    case 7:
      return Rig.sendInventories();
    default:
      if (!Ids.empty() && Rng.withProbability(0.3)) {
        JobId Victim = Ids[Rng.below(Ids.size())];
        Cancelled.insert(Victim);
        Rig.cancel(Victim);
      }
    }
  }

  void clearFaults() {
    for (std::uint32_t Index = 0; Index != 6; ++Index)
      Rig.reviveWorker(Rig.workerId(Index));
    Rig.link() = LinkFaults{};
    Rig.renewPermission() = true;
    Rig.setDomainInService(true);
    Rig.gainOwner();
    Rig.runFor(40min);
  }

  std::string reason(JobId Id) {
    std::optional<JobView> View = Rig.scheduler().job(Id);
    return View ? std::string(reasonInfo(View->StatusReason).Name) : "unknown";
  }

  std::string problem() {
    if (!Rig.violations().empty())
      return Rig.violations().front();
    if (Rig.lateStarts() != 0)
      return "task started after the start permission expired";
    for (JobId Id : Ids) {
      std::string Name = "job " + std::to_string(Id.value());
      bool JobEnded = Rig.phase(Id) >= JobPhase::Succeeded;
      if (!JobEnded) {
        return Name + " has not ended: phase " +
               std::to_string(static_cast<int>(Rig.phase(Id))) + ", " +
               reason(Id);
      }
      bool Ran = Rig.completions(Id) > 0;
      if (!Ran && !Cancelled.contains(Id) &&
          Rig.phase(Id) == JobPhase::Succeeded)
        return Name + " succeeded without a completed run";
      if (Rig.phase(Id) == JobPhase::Refused)
        return Name + " was refused";
    }
    return "";
  }

  std::string run() {
    for (int Round = 0; Round != 30; ++Round) {
      if (Rng.withProbability(0.7))
        submitOne();
      if (Rng.withProbability(0.4))
        injectFault();
      Rig.runFor(std::chrono::milliseconds(Rng.below(6000)));
    }
    clearFaults();
    return problem();
  }

  Random Rng;
  ScheduleRig Rig;
  std::vector<JobId> Ids;
  std::set<JobId> Cancelled;
};

void runSeeds(std::uint64_t First, std::uint64_t Count) {
  for (std::uint64_t Seed = First; Seed != First + Count; ++Seed) {
    RandomRun Run(Seed);
    std::string Problem = Run.run();
    cr_assert(Problem.empty(), "seed %llu: %s",
              static_cast<unsigned long long>(Seed), Problem.c_str());
  }
}

} // namespace

Test(schedule_random_runs, seeds_from_1) { runSeeds(1, 125); }
Test(schedule_random_runs, seeds_from_126) { runSeeds(126, 125); }
Test(schedule_random_runs, seeds_from_251) { runSeeds(251, 125); }
Test(schedule_random_runs, seeds_from_376) { runSeeds(376, 125); }
