/// \file
/// Implements FakeHosts.
#include "support/FakeHosts.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

using namespace pool;
using namespace std::chrono_literals;

namespace {

constexpr Duration Latency = 5ms;
constexpr Duration AnswerTimeout = 800ms;
constexpr Duration MaintenanceTime = 2s;

} // namespace

FakeHosts::FakeHosts(PoolWorld &World) : World(World) {
  for (const WorkerId &Id : World.Pool.ids())
    Hosts[HostId("host-" + Id.str())].Worker = Id;
}

std::vector<HostId> FakeHosts::hosts() const {
  std::vector<HostId> Result;
  for (const auto &Entry : Hosts)
    Result.push_back(Entry.first);
  return Result;
}

void FakeHosts::list(
    std::function<void(std::optional<std::vector<ListedHost>>)> Done) {
  if (Silent) {
    World.Clock.scheduleAfter(AnswerTimeout, [Done] { Done(std::nullopt); });
    return;
  }
  World.Clock.scheduleAfter(Latency, [this, Done = std::move(Done)] {
    std::vector<ListedHost> Result;
    for (const auto &[Id, Of] : Hosts)
      Result.push_back({Id, Of.Down ? HostState::InMaintenance : HostState::Up,
                        Of.Down ? WorkerId() : Of.Worker});
    Done(Result);
  });
}

void FakeHosts::takeDown(const HostId &Id, WaveNumber, Epoch,
                         std::function<void(MaintenanceResult)> Done) {
  ++Orders;
  if (Silent || LosesAnswers) {
    if (LosesAnswers)
      World.Clock.scheduleAfter(LateBy, [this, Id] { carryOut(Id); });
    World.Clock.scheduleAfter(AnswerTimeout,
                              [Done] { Done(MaintenanceResult::Unknown); });
    return;
  }
  World.Clock.scheduleAfter(
      Latency, [this, Id, Done = std::move(Done)] { Done(carryOut(Id)); });
}

MaintenanceResult FakeHosts::carryOut(const HostId &Id) {
  auto Found = Hosts.find(Id);
  if (Found == Hosts.end())
    return MaintenanceResult::NotOfWave;
  Host &Of = Found->second;
  if (Of.Through || Of.Down)
    return MaintenanceResult::Done;
  TasksKilled += World.Pool.runningOn(Of.Worker);
  Of.Down = true;
  MostDown = std::max(MostDown, ++Down);
  World.Pool.crash(Of.Worker);
  World.unlist(Of.Worker);
  World.Clock.scheduleAfter(MaintenanceTime, [this, Id] {
    Host &Back = Hosts.at(Id);
    Back.Down = false;
    Back.Through = true;
    ++Through;
    --Down;
    World.Pool.restart(Back.Worker);
    World.list(Back.Worker);
  });
  return MaintenanceResult::Done;
}

void FakeHosts::wasCompleted(WaveNumber,
                             std::function<void(std::optional<bool>)> Done) {
  if (Silent) {
    World.Clock.scheduleAfter(AnswerTimeout, [Done] { Done(std::nullopt); });
    return;
  }
  World.Clock.scheduleAfter(Latency,
                            [this, Done] { Done(Told == "completed"); });
}

void FakeHosts::report(WaveNumber, bool Completed,
                       std::function<void(bool)> Done) {
  World.Clock.scheduleAfter(Latency, [this, Completed, Done = std::move(Done)] {
    Told = Completed ? "completed" : "running";
    Done(true);
  });
}

} // namespace banyanworks::testing
