/// \file
/// Implements MaintenancePlan.
#include "pool/MaintenancePlan.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// Time from taking a host down until its new worker is listed: two seconds of
/// maintenance and a few heartbeats on the known deployments.
constexpr Duration HostDownTime = std::chrono::seconds(4);
/// Delay before a refused or unanswered order is repeated.
constexpr Duration OrderRetryDelay = std::chrono::milliseconds(500);

} // namespace

MaintenancePlan::MaintenancePlan(const MaintenanceWave &Wave) : Wave(Wave) {
  for (const HostId &Id : Wave.Hosts)
    Hosts.emplace(Id, Host());
  auto Rounds =
      static_cast<int>((Hosts.size() + std::max(1U, Wave.MaxDown) - 1) /
                       std::max(1U, Wave.MaxDown));
  if (Rounds > 0)
    DrainTimeout = std::max(Duration(), Wave.TimeLimit / Rounds - HostDownTime);
}

void MaintenancePlan::hostsListed(const std::vector<ListedHost> &All,
                                  TimePoint RequestedAt) {
  HasList = true;
  std::map<HostId, const ListedHost *> ListedById;
  for (const ListedHost &HostInfo : All)
    ListedById.emplace(HostInfo.Host, &HostInfo);
  for (auto &[Id, Target] : Hosts) {
    auto Found = ListedById.find(Id);
    Target.Listed = Found != ListedById.end();
    if (!Target.Listed) {
      if (Target.CurrentPhase != Phase::Ordered)
        Target.CurrentPhase = Phase::Removed;
      continue;
    }
    if (Target.CurrentPhase == Phase::Removed)
      continue;
    Target.ListedState = Found->second->State;
    Target.Worker = Found->second->Worker;
    if (Target.CurrentPhase == Phase::Confirmed &&
        Target.ListedState == HostState::Up && RequestedAt > Target.ConfirmedAt)
      Target.CurrentPhase = Phase::Completed;
  }
}

void MaintenancePlan::inherit(const HostId &Id, const WorkerId &Worker) {
  auto Found = Hosts.find(Id);
  if (Found == Hosts.end() || Found->second.CurrentPhase != Phase::Waiting)
    return;
  Found->second.CurrentPhase = Phase::Ordered;
  Found->second.Worker = Worker;
}

void MaintenancePlan::orderAnswered(const HostId &Id, MaintenanceResult Result,
                                    TimePoint Now) {
  auto Found = Hosts.find(Id);
  if (Found == Hosts.end())
    return;
  Host &Target = Found->second;
  Target.OrderInFlight = false;
  Target.NextOrderAt = Now + OrderRetryDelay;
  switch (Result) {
  case MaintenanceResult::Done:
    Target.CurrentPhase = Phase::Confirmed;
    Target.ConfirmedAt = Now;
    return;
  case MaintenanceResult::NotInWave:
    Target.CurrentPhase = Phase::Removed;
    return;
  case MaintenanceResult::Fenced:
    // The successor continues the wave; this owner is about to lose the
    // ownership.
    Target.NextOrderAt = TimePoint::max();
    return;
  case MaintenanceResult::Busy:
  case MaintenanceResult::NoAnswer:
    // An earlier order without an answer may still take effect, so the host
    // counts as down until an order is answered with Done.
    return;
  }
}

std::size_t MaintenancePlan::countDown() const {
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
        const Host &Target = Entry.second;
        return Target.CurrentPhase == Phase::Ordered ||
               Target.CurrentPhase == Phase::Confirmed ||
               (Target.Listed &&
                Target.ListedState == HostState::InMaintenance);
      }));
}

MaintenanceStep MaintenancePlan::nextStep(
    const std::function<bool(const WorkerId &)> &HoldsWork,
    const std::function<bool(const HostId &)> &IsRecorded, TimePoint Now) {
  if (!HasList)
    return pendingOrders();
  MaintenanceStep Result;
  std::size_t DrainingCount = 0;
  for (const auto &Entry : Hosts)
    DrainingCount += Entry.second.CurrentPhase == Phase::Draining;
  // At most as many hosts are drained as may be down; idle hosts come first.
  for (bool Idle : {true, false}) {
    for (auto &[Id, Target] : Hosts) {
      if (DrainingCount >= Wave.MaxDown)
        break;
      if (Target.CurrentPhase != Phase::Waiting ||
          Target.ListedState != HostState::Up ||
          (Idle && HoldsWork(Target.Worker)))
        continue;
      Target.CurrentPhase = Phase::Draining;
      Target.DrainingSince = Now;
      ++DrainingCount;
    }
  }
  std::size_t DownCount = countDown();
  for (auto &[Id, Target] : Hosts) {
    if (Target.CurrentPhase != Phase::Draining &&
        Target.CurrentPhase != Phase::Ordered)
      continue;
    Result.Cordoned.insert(Target.Worker);
    if (Target.CurrentPhase == Phase::Draining) {
      if (Now - Target.DrainingSince >= DrainTimeout)
        Result.Evacuating.insert(Target.Worker);
      if (HoldsWork(Target.Worker) || DownCount >= Wave.MaxDown ||
          Target.ListedState != HostState::Up || Now < Target.NextOrderAt)
        continue;
      ++DownCount;
      Target.CurrentPhase = Phase::Ordered;
    }
    Result.MayGoDown.emplace(Id, Target.Worker);
    if (Target.OrderInFlight || Now < Target.NextOrderAt || !IsRecorded(Id))
      continue;
    Target.OrderInFlight = true;
    Result.Orders.push_back(Id);
  }
  return Result;
}

MaintenanceStep MaintenancePlan::pendingOrders() const {
  MaintenanceStep Result;
  for (const auto &[Id, Target] : Hosts) {
    if (Target.CurrentPhase != Phase::Ordered)
      continue;
    Result.Cordoned.insert(Target.Worker);
    Result.MayGoDown.emplace(Id, Target.Worker);
  }
  return Result;
}

bool MaintenancePlan::isCompleted() const {
  return HasList &&
         std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
           return Entry.second.CurrentPhase == Phase::Completed ||
                  Entry.second.CurrentPhase == Phase::Removed;
         });
}

} // namespace banyanworks::pool
