/// \file
/// Implements MaintenancePlan.
#include "pool/MaintenancePlan.h"

#include <algorithm>

namespace banyanworks::pool {

namespace {

/// How long a host is down for its maintenance and until its new worker is
/// listed; two seconds and some heartbeats on the known deployments.
constexpr Duration DownTime = std::chrono::seconds(4);
/// The pause before an order that was refused or not answered is repeated.
constexpr Duration OrderRetry = std::chrono::milliseconds(500);

} // namespace

MaintenancePlan::MaintenancePlan(const MaintenanceWave &Wave) : Wave(Wave) {
  for (const HostId &Each : Wave.Hosts)
    Hosts.emplace(Each, Host());
  auto Rounds =
      static_cast<int>((Hosts.size() + std::max(1U, Wave.AtOnce) - 1) /
                       std::max(1U, Wave.AtOnce));
  if (Rounds > 0)
    LeaveTime = std::max(Duration(), Wave.Span / Rounds - DownTime);
}

void MaintenancePlan::listed(const std::vector<ListedHost> &All,
                             TimePoint AskedAt) {
  HasList = true;
  std::map<HostId, const ListedHost *> Seen;
  for (const ListedHost &Each : All)
    Seen.emplace(Each.Host, &Each);
  for (auto &[Id, Of] : Hosts) {
    auto Found = Seen.find(Id);
    Of.Known = Found != Seen.end();
    if (!Of.Known) {
      if (Of.Now != Phase::Ordered)
        Of.Now = Phase::Gone;
      continue;
    }
    if (Of.Now == Phase::Gone)
      continue;
    Of.State = Found->second->State;
    Of.Worker = Found->second->Worker;
    if (Of.Now == Phase::Confirmed && Of.State == HostState::Up &&
        AskedAt > Of.ConfirmedAt)
      Of.Now = Phase::Through;
  }
}

void MaintenancePlan::answered(const HostId &Id, MaintenanceResult Result,
                               TimePoint Now) {
  auto Found = Hosts.find(Id);
  if (Found == Hosts.end())
    return;
  Host &Of = Found->second;
  Of.OrderOut = false;
  Of.NextOrder = Now + OrderRetry;
  switch (Result) {
  case MaintenanceResult::Done:
    Of.Now = Phase::Confirmed;
    Of.ConfirmedAt = Now;
    return;
  case MaintenanceResult::NotOfWave:
    Of.Now = Phase::Gone;
    return;
  case MaintenanceResult::Fenced:
    // The successor goes on with the wave; this owner will hear of it.
    Of.NextOrder = TimePoint::max();
    return;
  case MaintenanceResult::Busy:
  case MaintenanceResult::Unknown:
    // An earlier try without an answer may still take effect, so that the host
    // counts as down until one is answered as done.
    return;
  }
}

std::size_t MaintenancePlan::down() const {
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
        const Host &Of = Entry.second;
        return Of.Now == Phase::Ordered || Of.Now == Phase::Confirmed ||
               (Of.Known && Of.State == HostState::InMaintenance);
      }));
}

MaintenanceStep
MaintenancePlan::step(const std::function<bool(const WorkerId &)> &Holds,
                      TimePoint Now) {
  MaintenanceStep Result;
  if (!HasList)
    return Result;
  std::size_t Leaving = 0;
  for (const auto &Entry : Hosts)
    Leaving += Entry.second.Now == Phase::Leaving;
  // As many hosts are emptied as may be down; those without work come first.
  for (bool Idle : {true, false}) {
    for (auto &[Id, Of] : Hosts) {
      if (Leaving >= Wave.AtOnce)
        break;
      if (Of.Now != Phase::Waiting || Of.State != HostState::Up ||
          (Idle && Holds(Of.Worker)))
        continue;
      Of.Now = Phase::Leaving;
      Of.LeavingSince = Now;
      ++Leaving;
    }
  }
  std::size_t Down = down();
  for (auto &[Id, Of] : Hosts) {
    if (Of.Now != Phase::Leaving && Of.Now != Phase::Ordered)
      continue;
    Result.Leaving.insert(Of.Worker);
    if (Of.Now == Phase::Leaving) {
      if (Now - Of.LeavingSince >= LeaveTime)
        Result.Pressed.insert(Of.Worker);
      if (Holds(Of.Worker) || Down >= Wave.AtOnce ||
          Of.State != HostState::Up || Now < Of.NextOrder)
        continue;
      ++Down;
      Of.Now = Phase::Ordered;
    } else if (Of.OrderOut || Now < Of.NextOrder) {
      continue;
    }
    Of.OrderOut = true;
    Result.Orders.push_back(Id);
  }
  return Result;
}

bool MaintenancePlan::completed() const {
  return HasList &&
         std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Entry) {
           return Entry.second.Now == Phase::Through ||
                  Entry.second.Now == Phase::Gone;
         });
}

} // namespace banyanworks::pool
