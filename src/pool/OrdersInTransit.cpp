/// \file
/// Implements OrdersInTransit.
#include "pool/OrdersInTransit.h"

#include "pool/WorkerLink.h"

#include <iterator>

namespace banyanworks::pool {

bool OrdersInTransit::Copies::mayArrive(TimePoint Now) const {
  return Now < LateUntil ||
         (AwaitedSince && Now < *AwaitedSince + LongestOrderDelay);
}

void OrdersInTransit::sent(const WorkerId &Id, const RunKey &Run,
                           Incarnation Life, TimePoint Now) {
  Copies &Sent = Workers[Id][Run];
  Sent.Life = Life;
  Sent.AwaitedSince = Now;
}

void OrdersInTransit::answered(const WorkerId &Id, const RunKey &Run,
                               OrderResult Result, TimePoint Now) {
  auto Worker = Workers.find(Id);
  if (Worker == Workers.end())
    return;
  auto Found = Worker->second.find(Run);
  if (Found == Worker->second.end())
    return;
  Copies &Sent = Found->second;
  Sent.AwaitedSince.reset();
  if (Result == OrderResult::NoAnswer)
    Sent.LateUntil = Now + LongestOrderDelay;
  if (Sent.mayArrive(Now))
    return;
  Worker->second.erase(Found);
  if (Worker->second.empty())
    Workers.erase(Worker);
}

void OrdersInTransit::expire(TimePoint Now) {
  for (auto At = Workers.begin(); At != Workers.end();) {
    std::erase_if(At->second, [Now](const auto &Entry) {
      return !Entry.second.mayArrive(Now);
    });
    At = At->second.empty() ? Workers.erase(At) : std::next(At);
  }
}

bool OrdersInTransit::contains(const WorkerId &Id, const RunKey &Run) const {
  auto Worker = Workers.find(Id);
  return Worker != Workers.end() && Worker->second.contains(Run);
}

std::vector<RunKey> OrdersInTransit::takeUnknownTo(const WorkerId &Id,
                                                   Incarnation Life) {
  std::vector<RunKey> Result;
  auto Worker = Workers.find(Id);
  if (Worker == Workers.end())
    return Result;
  for (auto &[Run, Sent] : Worker->second) {
    if (Sent.Life == Incarnation() || Sent.Life == Life)
      continue;
    Sent.Life = Life;
    Result.push_back(Run);
  }
  return Result;
}

} // namespace banyanworks::pool
