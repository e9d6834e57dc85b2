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

/// Interval of plan evaluation and host listing during a wave: a fraction of
/// the seconds for which a host is down.
constexpr Duration TickInterval = std::chrono::milliseconds(500);

std::string_view resultName(MaintenanceResult Result) {
  switch (Result) {
  case MaintenanceResult::Done:
    return "done";
  case MaintenanceResult::Busy:
    return "busy";
  case MaintenanceResult::NotInWave:
    return "not_of_wave";
  case MaintenanceResult::Fenced:
    return "fenced";
  case MaintenanceResult::NoAnswer:
    return "no_answer";
  }
  return "unknown";
}

} // namespace

Maintenance::Maintenance(HostControl &Control, PoolOwner &Owner,
                         AsyncStore &Store, Timers &Clock, DecisionLog &Log)
    : Control(Control), Owner(Owner), Clock(Clock), Log(Log),
      Journal(Store, Clock, Log, [this] { journalChanged(); }) {}

void Maintenance::waveChanged(WaveNumber Number, const MaintenanceWave *Wave) {
  if (Wave)
    RequestedWaves[Number] = *Wave;
  else
    RequestedWaves.erase(Number);
  if (!OwnsPool)
    return;
  ActiveWaves.erase(Number);
  if (Wave)
    addPlan(*Wave);
  tick();
}

void Maintenance::ownershipChanged(bool IsOwner) {
  ++Term;
  OwnsPool = IsOwner;
  Suspended = false;
  TickScheduled = false;
  ListInFlight = false;
  ActiveWaves.clear();
  Journal.close();
  if (!OwnsPool)
    return;
  Journal.open(Owner.token());
  for (const auto &Entry : RequestedWaves)
    addPlan(Entry.second);
  tick();
}

void Maintenance::addPlan(const MaintenanceWave &Wave) {
  ActiveWave &Added =
      ActiveWaves.emplace(Wave.Wave, ActiveWave{MaintenancePlan(Wave)})
          .first->second;
  for (const auto &[Host, Worker] : Journal.inherited().hostsOf(Wave.Wave))
    Added.Plan.inherit(Host, Worker);
}

void Maintenance::journalChanged() {
  for (auto &[Number, Wave] : ActiveWaves)
    for (const auto &[Host, Worker] : Journal.inherited().hostsOf(Number))
      Wave.Plan.inherit(Host, Worker);
  advance();
}

bool Maintenance::hasOpenWaves() const {
  return std::any_of(
      ActiveWaves.begin(), ActiveWaves.end(),
      [](const auto &Entry) { return !Entry.second.ReportedCompleted; });
}

void Maintenance::tick() {
  if (!OwnsPool || TickScheduled)
    return;
  if (!hasOpenWaves()) {
    Owner.setCordoned({}, {});
    Journal.update({});
    return;
  }
  TickScheduled = true;
  list();
  advance();
  std::uint64_t CallTerm = Term;
  Clock.schedule(TickInterval, [this, CallTerm] {
    if (CallTerm != Term)
      return;
    TickScheduled = false;
    tick();
  });
}

void Maintenance::advance() {
  if (!OwnsPool || !Journal.isOpen())
    return;
  // Workers reject the orders of an owner that has a successor, as soon as this
  // one has called them. The platform knows of no successor until it has an
  // order of it for the same host.
  if (!Owner.holdsLease()) {
    if (!std::exchange(Suspended, true)) {
      Log.write(LogLevel::Change, "maintenance.suspended",
                {{"token", Owner.token().value()},
                 {"reason", "the ownership lease may have ended"}});
    }
    return;
  }
  Suspended = false;
  MaintenanceStep Combined;
  TakedownRecord MayGoDown;
  std::vector<std::pair<WaveNumber, HostId>> Orders;
  TimePoint Now = Clock.now();
  for (auto &[Number, Wave] : ActiveWaves) {
    if (Wave.ReportedCompleted)
      continue;
    MaintenanceStep Step = Wave.Plan.pendingOrders();
    if (Wave.Checked) {
      Step = Wave.Plan.nextStep(
          [this](const WorkerId &Worker) { return Owner.holdsRuns(Worker); },
          [this, Id = Number](const HostId &Host) {
            return Journal.contains(Id, Host);
          },
          Now);
    }
    Combined.Cordoned.merge(Step.Cordoned);
    Combined.Evacuating.merge(Step.Evacuating);
    for (const auto &[Host, Worker] : Step.MayGoDown)
      MayGoDown.add(Number, Host, Worker);
    for (const HostId &Host : Step.Orders)
      Orders.emplace_back(Number, Host);
    if (Wave.Checked)
      report(Wave);
    else
      checkCompleted(Wave);
  }
  Owner.setCordoned(std::move(Combined.Cordoned),
                    std::move(Combined.Evacuating));
  Journal.update(std::move(MayGoDown));
  for (const auto &[Number, Host] : Orders)
    takeDown(Number, Host);
}

void Maintenance::list() {
  if (std::exchange(ListInFlight, true))
    return;
  std::uint64_t CallTerm = Term;
  TimePoint RequestedAt = Clock.now();
  Control.list([this, CallTerm, RequestedAt](
                   const std::optional<std::vector<ListedHost>> &Listed) {
    if (CallTerm != Term)
      return;
    ListInFlight = false;
    if (!Listed)
      return;
    for (auto &Entry : ActiveWaves)
      Entry.second.Plan.hostsListed(*Listed, RequestedAt);
  });
}

void Maintenance::takeDown(WaveNumber Wave, const HostId &Host) {
  std::uint64_t CallTerm = Term;
  Control.takeDown(Host, Wave, Owner.token(),
                   [this, CallTerm, Wave, Host](MaintenanceResult Result) {
                     if (CallTerm != Term)
                       return;
                     Log.write(LogLevel::Change, "host.maintenance",
                               {{"host", Host.str()},
                                {"wave", Wave.value()},
                                {"token", Owner.token().value()},
                                {"result", resultName(Result)}});
                     auto Found = ActiveWaves.find(Wave);
                     if (Found != ActiveWaves.end())
                       Found->second.Plan.orderAnswered(Host, Result,
                                                        Clock.now());
                   });
}

void Maintenance::checkCompleted(ActiveWave &Wave) {
  if (Wave.Checked || std::exchange(Wave.CheckInFlight, true))
    return;
  std::uint64_t CallTerm = Term;
  WaveNumber Number = Wave.Plan.wave().Wave;
  Control.wasCompleted(
      Number, [this, CallTerm, Number](std::optional<bool> Completed) {
        auto Found = ActiveWaves.find(Number);
        if (CallTerm != Term || Found == ActiveWaves.end())
          return;
        Found->second.CheckInFlight = false;
        if (!Completed)
          Log.write(LogLevel::Notice, "wave.status.unavailable",
                    {{"wave", Number.value()}});
        Found->second.Checked = Completed.has_value();
        Found->second.ReportedCompleted = Completed.value_or(false);
      });
}

void Maintenance::report(ActiveWave &Wave) {
  bool Completed = Wave.Plan.isCompleted();
  if (Wave.ReportInFlight ||
      (Completed ? Wave.ReportedCompleted : Wave.ReportedRunning))
    return;
  Wave.ReportInFlight = true;
  std::uint64_t CallTerm = Term;
  WaveNumber Number = Wave.Plan.wave().Wave;
  Control.report(Number, Completed, Owner.token(),
                 [this, CallTerm, Number, Completed](bool Delivered) {
                   auto Found = ActiveWaves.find(Number);
                   if (CallTerm != Term || Found == ActiveWaves.end())
                     return;
                   Found->second.ReportInFlight = false;
                   // A failed report is repeated with the next tick.
                   Log.write(LogLevel::Change,
                             Delivered ? "wave.reported" : "wave.report.failed",
                             {{"wave", Number.value()},
                              {"state", Completed ? "completed" : "running"}});
                   if (!Delivered)
                     return;
                   Found->second.ReportedRunning = true;
                   Found->second.ReportedCompleted = Completed;
                 });
}

} // namespace banyanworks::pool
