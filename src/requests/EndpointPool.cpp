/// \file
/// Implements EndpointPool.
#include "requests/EndpointPool.h"

#include "base/Check.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace banyanworks {

namespace {

/// An endpoint that refused an attempt as draining gets no attempts for this
/// long, unless the platform reports that it does not drain. The next
/// attempt tests it again.
constexpr Duration DrainingValidity = std::chrono::seconds(30);
/// Validity of a peer's observation that an endpoint is draining; peers repeat
/// it in each report.
constexpr Duration PeerDrainingValidity = std::chrono::seconds(3);
/// Endpoints of the own failure domain are preferred only below this relative
/// latency.
constexpr double NearLatencyLimit = 2.0;

} // namespace

EndpointPool::EndpointPool(const RouterSettings &Settings, SlotShares &Shares)
    : Options(Settings.Health), Self(Settings.Self), Domain(Settings.Domain),
      Shares(Shares), Rng(Settings.Seed) {}

void EndpointPool::setEndpoints(
    const std::map<EndpointId, Endpoint> &Declared) {
  std::erase_if(Endpoints, [&](const auto &Entry) {
    return !Declared.contains(Entry.first);
  });
  for (const auto &[Id, Value] : Declared) {
    State &Pooled = Endpoints[Id];
    Pooled.Declared = Value;
    // The order differs by daemon, so that idle daemons hold slots of different
    // endpoints.
    std::string Text = Self.str() + "/" + Id.str();
    Pooled.DaemonOrder = XXH64(Text.data(), Text.size(), 0);
  }
}

void EndpointPool::setStatus(TimePoint Now, const EndpointStatus &Status) {
  auto Found = Endpoints.find(Status.Endpoint);
  if (Found == Endpoints.end())
    return;
  State &Value = Found->second;
  Value.ListedDraining = Status.Draining;
  if (!Status.Draining)
    Value.DrainingUntil = Now;
  if (Status.Slots)
    Shares.setSlots(Status.Endpoint,
                    std::min(*Status.Slots, Value.Declared.Slots));
}

void EndpointPool::onPeerReport(TimePoint Now, const PeerReport &Report) {
  for (const EndpointObservation &Observation : Report.Endpoints) {
    auto Found = Endpoints.find(Observation.Endpoint);
    if (Found == Endpoints.end() || !Observation.Draining)
      continue;
    TimePoint ReportValidUntil = Now + PeerDrainingValidity;
    Found->second.DrainingUntil =
        std::max(Found->second.DrainingUntil, ReportValidUntil);
  }
}

void EndpointPool::addToReport(TimePoint Now, PeerReport &Report) const {
  for (const auto &[Id, Value] : Endpoints) {
    // Only local observations are reported. Two daemons that repeat each
    // other's reports would keep the draining state forever.
    bool Draining = Value.ListedDraining ||
                    Value.DrainingUntil > Now + PeerDrainingValidity;
    bool Ejected = Value.Health.isEjected(Now);
    if (Draining || Ejected)
      Report.Endpoints.push_back({Id, Value.InFlight, Draining, Ejected});
  }
}

bool EndpointPool::isDraining(TimePoint Now, const State &Value) const {
  return Value.ListedDraining || Value.Declared.Draining ||
         Now < Value.DrainingUntil;
}

bool EndpointPool::isUsable(TimePoint Now, const State &Value) const {
  return !isDraining(Now, Value) && !Value.Health.isEjected(Now);
}

double EndpointPool::score(const State &Value) const {
  double Load = (Value.InFlight + 1.0) / std::max(Value.Declared.Slots, 1U);
  return Load * std::max(Value.Health.relativeLatency(), 0.1);
}

const EndpointId *EndpointPool::pickLessLoaded(
    const std::vector<const EndpointId *> &Candidates) {
  if (Candidates.empty())
    return nullptr;
  const EndpointId *First = Candidates[Rng.below(Candidates.size())];
  const EndpointId *Second = Candidates[Rng.below(Candidates.size())];
  bool SecondWins = score(Endpoints.at(*Second)) < score(Endpoints.at(*First));
  return SecondWins ? Second : First;
}

std::optional<EndpointId>
EndpointPool::choose(TimePoint Now, const std::set<EndpointId> &Excluded) {
  std::vector<const EndpointId *> Local;
  std::vector<const EndpointId *> All;
  for (const auto &[Id, Value] : Endpoints) {
    if (!Shares.canStart(Now, Id) || !isUsable(Now, Value))
      continue;
    if (Value.InFlight >= Value.Health.maxInFlight(Now, Value.Declared.Slots))
      continue;
    if (Excluded.contains(Id))
      continue;
    All.push_back(&Id);
    if (Value.Declared.Domain == Domain &&
        Value.Health.relativeLatency() < NearLatencyLimit)
      Local.push_back(&Id);
  }
  const EndpointId *Best = pickLessLoaded(Local.empty() ? All : Local);
  if (!Best)
    return std::nullopt;
  return *Best;
}

void EndpointPool::onAttemptStarted(TimePoint, const EndpointId &Id) {
  ++Endpoints.at(Id).InFlight;
  Shares.onAttemptStarted(Id);
}

/// The median of the endpoints' relative latencies.
double EndpointPool::medianLatency() const {
  std::vector<double> Values;
  for (const auto &[Id, Value] : Endpoints)
    Values.push_back(Value.Health.relativeLatency());
  if (Values.empty())
    return 1.0;
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void EndpointPool::ejectIfUnhealthy(TimePoint Now, State &Value) {
  if (Value.Health.isEjected(Now) ||
      !Value.Health.shouldEject(Options, medianLatency()))
    return;
  std::uint32_t Ejected = 0;
  for (const auto &[Id, Other] : Endpoints)
    Ejected += Other.Health.isEjected(Now);
  if (Ejected + 1 >
      Options.MaxEjectedShare * static_cast<double>(Endpoints.size()))
    return;
  Value.Health.eject(Now, Options);
}

void EndpointPool::onAttemptEnded(TimePoint Now, const EndpointId &Id,
                                  HealthSignal Signal, Duration Latency,
                                  Duration MeanLatency) {
  Shares.onAttemptEnded(Now, Id);
  auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  State &Value = Found->second;
  std::uint32_t InFlight = Value.InFlight;
  Value.InFlight -= InFlight > 0;
  switch (Signal) {
  case HealthSignal::Success: {
    double Base = std::max(toSeconds(MeanLatency), 1e-6);
    bool Tiny = Latency < Options.MinSlowLatency;
    double Relative = toSeconds(Latency) / Base;
    Value.Health.onSuccess(Options, Tiny ? std::min(Relative, 1.0) : Relative);
    break;
  }
  case HealthSignal::Failure:
    Value.Health.onFailure();
    break;
  case HealthSignal::Busy:
    Value.Health.onBusy(InFlight);
    break;
  case HealthSignal::Draining:
    Value.DrainingUntil = Now + DrainingValidity;
    break;
  case HealthSignal::None:
    break;
  }
  ejectIfUnhealthy(Now, Value);
}

void EndpointPool::distributeDemand(TimePoint Now, std::uint32_t Attempts,
                                    std::uint32_t IdleEndpoints) {
  struct Candidate {
    bool IsLocal;
    std::uint64_t Order;
    const EndpointId *Id;
    std::uint32_t MaxInFlight;
  };
  std::vector<Candidate> Candidates;
  for (const auto &[Id, Value] : Endpoints) {
    if (!isUsable(Now, Value)) {
      Shares.setRequestedSlots(Now, Id, 0);
      continue;
    }
    std::uint32_t MaxInFlight =
        Value.Health.maxInFlight(Now, Value.Declared.Slots);
    Candidates.push_back(
        {Value.Declared.Domain == Domain, Value.DaemonOrder, &Id, MaxInFlight});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::tuple(!A.IsLocal, A.Order) <
                     std::tuple(!B.IsLocal, B.Order);
            });
  std::map<EndpointId, std::uint32_t> RequestedSlots;
  std::uint32_t Remaining = std::max(Attempts, IdleEndpoints);
  // Distribute evenly over the endpoints of the own failure domain first, then
  // over the others.
  for (bool NearPass : {true, false}) {
    bool Progress = true;
    while (Remaining > 0 && Progress) {
      Progress = false;
      for (const Candidate &Target : Candidates) {
        if (Target.IsLocal != NearPass || Remaining == 0)
          continue;
        std::uint32_t &SlotsWanted = RequestedSlots[*Target.Id];
        if (SlotsWanted >= Target.MaxInFlight)
          continue;
        ++SlotsWanted;
        --Remaining;
        Progress = true;
      }
    }
  }
  for (const Candidate &Target : Candidates)
    Shares.setRequestedSlots(Now, *Target.Id, RequestedSlots[*Target.Id]);
}

std::size_t EndpointPool::countUsable(TimePoint Now) const {
  std::size_t Result = 0;
  for (const auto &[Id, Value] : Endpoints)
    Result += isUsable(Now, Value);
  return Result;
}

std::uint32_t EndpointPool::usableSlots(TimePoint Now) const {
  std::uint32_t Result = 0;
  for (const auto &[Id, Value] : Endpoints)
    if (isUsable(Now, Value))
      Result += Value.Health.maxInFlight(Now, Value.Declared.Slots);
  return Result;
}

std::uint32_t EndpointPool::heldSlots(TimePoint Now) const {
  std::uint32_t Result = 0;
  for (const auto &[Id, Value] : Endpoints)
    if (isUsable(Now, Value))
      Result += Shares.heldSlots(Now, Id);
  return Result;
}

std::optional<TimePoint> EndpointPool::nextEjectionEnd(TimePoint Now) const {
  std::optional<TimePoint> Result;
  for (const auto &[Id, Value] : Endpoints) {
    TimePoint EjectionEnd = Value.Health.ejectedUntil();
    if (EjectionEnd > Now)
      Result = std::min(Result.value_or(EjectionEnd), EjectionEnd);
  }
  return Result;
}

const Endpoint &EndpointPool::declared(const EndpointId &Id) const {
  auto Found = Endpoints.find(Id);
  BANYANWORKS_CHECK(Found != Endpoints.end(), "endpoint is not in the pool");
  return Found->second.Declared;
}

std::vector<EndpointId> EndpointPool::ids() const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Value] : Endpoints)
    Result.push_back(Id);
  return Result;
}

bool EndpointPool::draining(TimePoint Now, const EndpointId &Id) const {
  return isDraining(Now, Endpoints.at(Id));
}

bool EndpointPool::isEjected(TimePoint Now, const EndpointId &Id) const {
  return Endpoints.at(Id).Health.isEjected(Now);
}

} // namespace banyanworks
