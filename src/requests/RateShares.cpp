/// \file
/// Implements RateShares.
#include "requests/RateShares.h"

#include <algorithm>

namespace banyanworks {

namespace {

constexpr Duration RateWindow = std::chrono::milliseconds(500);
/// A reported arrival rate of a peer is used for this long.
constexpr Duration ReportValidity = std::chrono::seconds(2);
/// The capacity of a bucket is what its share yields in this time.
constexpr Duration BurstSpan = std::chrono::milliseconds(500);
/// Fraction of the limit that is divided evenly, so that a daemon without
/// traffic can admit its first requests.
constexpr double EvenShare = 0.1;

} // namespace

void RateShares::setMethods(const std::map<MethodId, Method> &Methods) {
  std::erase_if(Buckets, [&](const auto &Entry) {
    auto Found = Methods.find(Entry.first);
    return Found == Methods.end() || Found->second.RateLimit <= 0;
  });
  for (const auto &[Id, Value] : Methods)
    if (Value.RateLimit > 0)
      Buckets[Id].Limit = Value.RateLimit;
}

void RateShares::refill(TimePoint Now, Bucket &Value) const {
  if (Now - Value.WindowStart >= RateWindow) {
    double WindowSeconds = toSeconds(Now - Value.WindowStart);
    Value.Rate = Value.WindowArrivals / std::max(WindowSeconds, 1e-3);
    Value.WindowArrivals = 0;
    Value.WindowStart = Now;
  }
  double EvenRate = EvenShare * Value.Limit / static_cast<double>(DaemonCount);
  double TotalRate = Value.Rate + EvenShare * Value.Limit;
  for (const auto &[Id, Other] : Value.PeerArrivals)
    if (Now - Other.ReportedAt < ReportValidity)
      TotalRate += Other.Rate;
  Value.Share = Value.Limit * (Value.Rate + EvenRate) / TotalRate;
  double Burst = std::max(1.0, Value.Share * toSeconds(BurstSpan));
  if (!Value.Initialized) {
    Value.Initialized = true;
    Value.Tokens = Burst;
  } else {
    Value.Tokens += Value.Share * toSeconds(Now - Value.RefilledAt);
  }
  Value.Tokens = std::min(Value.Tokens, Burst);
  Value.RefilledAt = Now;
}

bool RateShares::admit(TimePoint Now, const MethodId &Id) {
  auto Found = Buckets.find(Id);
  if (Found == Buckets.end())
    return true;
  Bucket &Value = Found->second;
  ++Value.WindowArrivals;
  refill(Now, Value);
  if (Value.Tokens < 1)
    return false;
  Value.Tokens -= 1;
  return true;
}

Duration RateShares::timeToNextToken(const MethodId &Id) const {
  auto Found = Buckets.find(Id);
  if (Found == Buckets.end() || Found->second.Share <= 0)
    return Duration::zero();
  double Missing = std::max(0.0, 1.0 - Found->second.Tokens);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / Found->second.Share));
}

void RateShares::onPeerReport(TimePoint Now, const PeerReport &Report) {
  for (const LimitUsage &Use : Report.Limits) {
    auto Found = Buckets.find(Use.Method);
    if (Found != Buckets.end())
      Found->second.PeerArrivals[Report.Sender] = {Use.ArrivalRate, Now};
  }
}

void RateShares::addToReport(TimePoint Now, PeerReport &Report) {
  for (auto &[Id, Value] : Buckets) {
    refill(Now, Value);
    if (Value.Rate > 0)
      Report.Limits.push_back({Id, Value.Rate, 0});
  }
}

} // namespace banyanworks
