/// \file
/// Implements CapCheck.
#include "support/CapCheck.h"

#include "pool/JobName.h"
#include "pool/WorkspaceCap.h"

#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

CapCheck::CapCheck(PoolSimulation &Simulation, double Overage)
    : Simulation(Simulation), Overage(Overage) {
  Versions.emplace_back(TimePoint::min(), Simulation.Configuration.Caps);
  Simulation.Pool.Started = [this](const TaskKey &Task, TimePoint SentAt) {
    check(Task, SentAt);
  };
}

void CapCheck::publishCaps(std::map<WorkspaceId, Resources> Caps) {
  Versions.emplace_back(Simulation.Clock.now(), Caps);
  Simulation.Configuration.Caps = std::move(Caps);
  Simulation.Configuration.Version = Simulation.Configuration.Version.next();
}

void CapCheck::setCaps(std::map<WorkspaceId, Resources> Caps) {
  publishCaps(std::move(Caps));
  Simulation.applyConfiguration();
}

void CapCheck::check(const TaskKey &Task, TimePoint SentAt) {
  const pool::JobSpec &Started = Simulation.spec(Task.Job);
  const StepSpec &Step = Started.Steps[Task.Step];
  Resources Held;
  std::size_t Others = 0;
  Simulation.Pool.visitRunning([&](const TaskKey &Running) {
    const pool::JobSpec &Spec = Simulation.spec(Running.Job);
    if (Spec.Workspace != Started.Workspace)
      return;
    Held += Spec.Steps[Running.Step].PerTask;
    bool SameGroup = Running.Job == Task.Job && Running.Step == Task.Step &&
                     (startsTogether(Step) || Running == Task);
    Others += SameGroup ? 0 : 1;
  });
  for (std::size_t Index = 0; Index < Versions.size(); ++Index) {
    bool Replaced =
        Index + 1 < Versions.size() && Versions[Index + 1].first < SentAt - 3s;
    if (Replaced)
      continue;
    auto Cap = Versions[Index].second.find(Started.Workspace);
    if (Cap == Versions[Index].second.end())
      return;
    Resources Enlarged = capWithOverage(Cap->second, Overage);
    bool Alone = Others == 0 && (!startsTogether(Step) ||
                                 tasksWithinCap(Held, {}, Enlarged, 1) == 1);
    if (Alone || tasksWithinCap(Held, {}, Cap->second, 1) == 1)
      return;
  }
  Violations.push_back(
      "start above the cap of its workspace: " + taskName(Task) +
      " at second " +
      std::to_string(toSeconds(Simulation.Clock.now().time_since_epoch())));
}

} // namespace banyanworks::testing
