/// \file
/// Implements the roster of workers.
#include "jobs/WorkerTracker.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A worker that was absent for so long is taken for removed.
constexpr Duration ForgetAfter = std::chrono::minutes(10);

} // namespace

void WorkerTracker::expect(const WorkerId &Worker, TimePoint Now) {
  UnknownCapacityUntil[Worker] = Now + ForgetAfter;
}

void WorkerTracker::markJoined(const WorkerId &Worker) {
  UnknownCapacityUntil.erase(Worker);
  AbsentUntil.erase(Worker);
}

void WorkerTracker::markDeparted(const WorkerId &Worker, std::uint32_t Rack,
                                 TimePoint Now, Duration Window) {
  AbsentUntil[Worker] = Now + ForgetAfter;
  if (!lossInProgress(Rack, Now))
    ++LossEventCount;
  LossWindowEnds[Rack] = Now + Window;
}

void WorkerTracker::clear() {
  AbsentUntil.clear();
  UnknownCapacityUntil.clear();
  LossWindowEnds.clear();
}

std::vector<WorkerId> WorkerTracker::takeExpired(TimePoint Now) {
  std::vector<WorkerId> Result;
  std::erase_if(AbsentUntil, [&Result, Now](const auto &Entry) {
    if (Entry.second > Now)
      return false;
    Result.push_back(Entry.first);
    return true;
  });
  std::erase_if(UnknownCapacityUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  return Result;
}

bool WorkerTracker::lossInProgress(std::uint32_t Rack, TimePoint Now) const {
  auto Found = LossWindowEnds.find(Rack);
  return Found != LossWindowEnds.end() && Now < Found->second;
}

std::vector<std::uint32_t>
WorkerTracker::racksWithLossInProgress(TimePoint Now) const {
  std::vector<std::uint32_t> Result;
  for (const auto &[Rack, Ends] : LossWindowEnds) {
    if (Now < Ends)
      Result.push_back(Rack);
  }
  return Result;
}

TimePoint WorkerTracker::deadline() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Worker, Until] : AbsentUntil)
    Next = std::min(Next, Until);
  for (const auto &[Worker, Until] : UnknownCapacityUntil)
    Next = std::min(Next, Until);
  return Next;
}

} // namespace banyanworks
