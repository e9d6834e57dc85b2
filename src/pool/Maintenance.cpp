/// \file
/// Implements Maintenance.
#include "pool/Maintenance.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/HostControl.h"
#include "pool/PoolOwner.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

/// How often the plan is looked at and the hosts are listed while a wave runs:
/// a share of the seconds that a host is down.
constexpr Duration TickEvery = std::chrono::milliseconds(500);

std::string_view resultName(MaintenanceResult Result) {
  switch (Result) {
  case MaintenanceResult::Done:
    return "done";
  case MaintenanceResult::Busy:
    return "busy";
  case MaintenanceResult::NotOfWave:
    return "not_of_wave";
  case MaintenanceResult::Fenced:
    return "fenced";
  case MaintenanceResult::Unknown:
    return "no_answer";
  }
  return "unknown";
}

} // namespace

Maintenance::Maintenance(HostControl &Control, PoolOwner &Owner, Timers &Clock,
                         DecisionLog &Log)
    : Control(Control), Owner(Owner), Clock(Clock), Log(Log) {}

void Maintenance::waveChanged(WaveNumber Number, const MaintenanceWave *Wave) {
  if (Wave)
    Asked[Number] = *Wave;
  else
    Asked.erase(Number);
  if (!Owns)
    return;
  Waves.erase(Number);
  if (Wave)
    Waves.emplace(Number, Running{MaintenancePlan(*Wave)});
  tick();
}

void Maintenance::ownershipChanged(bool Now) {
  ++Term;
  Owns = Now;
  Ticking = false;
  ListOut = false;
  Waves.clear();
  if (!Owns)
    return;
  for (const auto &[Number, Wave] : Asked)
    Waves.emplace(Number, Running{MaintenancePlan(Wave)});
  tick();
}

bool Maintenance::busy() const {
  return std::any_of(Waves.begin(), Waves.end(), [](const auto &Entry) {
    return !Entry.second.ToldCompleted;
  });
}

void Maintenance::tick() {
  if (!Owns || Ticking)
    return;
  if (!busy()) {
    Owner.setCordoned({}, {});
    return;
  }
  Ticking = true;
  list();
  MaintenanceStep All;
  TimePoint Now = Clock.now();
  for (auto &[Number, Wave] : Waves) {
    if (!Wave.Checked || Wave.ToldCompleted) {
      check(Wave);
      continue;
    }
    MaintenanceStep Step = Wave.Plan.step(
        [this](const WorkerId &Worker) { return Owner.holdsRuns(Worker); },
        Now);
    All.Leaving.merge(Step.Leaving);
    All.Pressed.merge(Step.Pressed);
    for (const HostId &Host : Step.Orders)
      takeDown(Number, Host);
    report(Wave);
  }
  Owner.setCordoned(std::move(All.Leaving), std::move(All.Pressed));
  std::uint64_t Mine = Term;
  Clock.schedule(TickEvery, [this, Mine] {
    if (Mine != Term)
      return;
    Ticking = false;
    tick();
  });
}

void Maintenance::list() {
  if (std::exchange(ListOut, true))
    return;
  std::uint64_t Mine = Term;
  TimePoint AskedAt = Clock.now();
  Control.list(
      [this, Mine, AskedAt](const std::optional<std::vector<ListedHost>> &All) {
        if (Mine != Term)
          return;
        ListOut = false;
        if (!All)
          return;
        for (auto &Entry : Waves)
          Entry.second.Plan.listed(*All, AskedAt);
      });
}

void Maintenance::takeDown(WaveNumber Wave, const HostId &Host) {
  std::uint64_t Mine = Term;
  Control.takeDown(Host, Wave, Owner.token(),
                   [this, Mine, Wave, Host](MaintenanceResult Result) {
                     if (Mine != Term)
                       return;
                     Log.write(LogLevel::Change, "host.maintenance",
                               {{"host", Host.str()},
                                {"wave", Wave.value()},
                                {"token", Owner.token().value()},
                                {"result", resultName(Result)}});
                     auto Found = Waves.find(Wave);
                     if (Found != Waves.end())
                       Found->second.Plan.answered(Host, Result, Clock.now());
                   });
}

void Maintenance::check(Running &Wave) {
  if (Wave.Checked || std::exchange(Wave.CheckOut, true))
    return;
  std::uint64_t Mine = Term;
  WaveNumber Number = Wave.Plan.wave().Wave;
  Control.wasCompleted(Number, [this, Mine, Number](std::optional<bool> Was) {
    auto Found = Waves.find(Number);
    if (Mine != Term || Found == Waves.end())
      return;
    Found->second.CheckOut = false;
    if (!Was)
      Log.write(LogLevel::Notice, "wave.status.unavailable",
                {{"wave", Number.value()}});
    Found->second.Checked = Was.has_value();
    Found->second.ToldCompleted = Was.value_or(false);
  });
}

void Maintenance::report(Running &Wave) {
  bool Completed = Wave.Plan.completed();
  if (Wave.ReportOut || (Completed ? Wave.ToldCompleted : Wave.ToldRunning))
    return;
  Wave.ReportOut = true;
  std::uint64_t Mine = Term;
  WaveNumber Number = Wave.Plan.wave().Wave;
  Control.report(Number, Completed, [this, Mine, Number, Completed](bool Told) {
    auto Found = Waves.find(Number);
    if (Mine != Term || Found == Waves.end())
      return;
    Found->second.ReportOut = false;
    // A report that did not get through is repeated with the next tick.
    Log.write(LogLevel::Change, Told ? "wave.reported" : "wave.report.failed",
              {{"wave", Number.value()},
               {"state", Completed ? "completed" : "running"}});
    if (!Told)
      return;
    Found->second.ToldRunning = true;
    Found->second.ToldCompleted = Completed;
  });
}

} // namespace banyanworks::pool
