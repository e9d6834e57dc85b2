/// \file
/// Implements RequestQueue.
#include "requests/RequestQueue.h"

#include <algorithm>
#include <iterator>

namespace banyanworks {

void RequestQueue::setWeight(const WorkspaceId &Workspace, double Weight) {
  WorkspaceQueues[Workspace].Weight = std::max(Weight, 1e-3);
}

std::optional<RequestId> RequestQueue::push(const QueuedRequest &Entry) {
  WorkspaceQueue &OwnQueue = WorkspaceQueues[Entry.Workspace];
  // An idle workspace accumulates no credit.
  if (OwnQueue.Waiting.empty())
    OwnQueue.VirtualTime = std::max(OwnQueue.VirtualTime, SystemVirtualTime);
  OwnQueue.Waiting.emplace(Entry.Deadline, Entry.Request);
  ++Total;
  if (Total <= MaxQueued)
    return std::nullopt;
  WorkspaceQueue *Longest = &OwnQueue;
  for (auto &[Name, Other] : WorkspaceQueues)
    if (Other.weightedLength() > Longest->weightedLength())
      Longest = &Other;
  auto Latest = std::prev(Longest->Waiting.end());
  RequestId Dropped = Latest->second;
  Longest->Waiting.erase(Latest);
  --Total;
  return Dropped;
}

const RequestQueue::WorkspaceQueue *
RequestQueue::nextWorkspaceQueue(WorkspaceId *Name) const {
  const WorkspaceQueue *Best = nullptr;
  for (const auto &[Id, Value] : WorkspaceQueues) {
    if (Value.Waiting.empty() ||
        (Best && Value.VirtualTime >= Best->VirtualTime))
      continue;
    Best = &Value;
    *Name = Id;
  }
  return Best;
}

std::optional<QueuedRequest> RequestQueue::front() const {
  WorkspaceId Name;
  const WorkspaceQueue *Next = nextWorkspaceQueue(&Name);
  if (!Next)
    return std::nullopt;
  const auto &[Deadline, Request] = *Next->Waiting.begin();
  return QueuedRequest{Request, Name, Deadline};
}

void RequestQueue::pop() {
  WorkspaceId Name;
  if (!nextWorkspaceQueue(&Name))
    return;
  WorkspaceQueue &Next = WorkspaceQueues[Name];
  Next.Waiting.erase(Next.Waiting.begin());
  SystemVirtualTime = Next.VirtualTime;
  Next.VirtualTime += 1.0 / Next.Weight;
  --Total;
}

void RequestQueue::remove(const QueuedRequest &Entry) {
  auto Found = WorkspaceQueues.find(Entry.Workspace);
  if (Found != WorkspaceQueues.end())
    Total -= Found->second.Waiting.erase({Entry.Deadline, Entry.Request});
}

std::vector<RequestId> RequestQueue::removeDueBefore(TimePoint Time) {
  std::vector<RequestId> Result;
  for (auto &[Name, Value] : WorkspaceQueues) {
    auto &Waiting = Value.Waiting;
    while (!Waiting.empty() && Waiting.begin()->first < Time) {
      Result.push_back(Waiting.begin()->second);
      Waiting.erase(Waiting.begin());
      --Total;
    }
  }
  return Result;
}

std::optional<TimePoint> RequestQueue::earliestDeadline() const {
  std::optional<TimePoint> Result;
  for (const auto &[Name, Value] : WorkspaceQueues) {
    if (Value.Waiting.empty())
      continue;
    TimePoint QueueDeadline = Value.Waiting.begin()->first;
    Result = std::min(Result.value_or(QueueDeadline), QueueDeadline);
  }
  return Result;
}

std::size_t RequestQueue::countAhead(const WorkspaceId &Workspace,
                                     TimePoint Deadline) const {
  double OwnWeight = 1.0;
  std::size_t OwnAhead = 0;
  auto OwnQueue = WorkspaceQueues.find(Workspace);
  if (OwnQueue != WorkspaceQueues.end()) {
    OwnWeight = OwnQueue->second.Weight;
    const auto &Waiting = OwnQueue->second.Waiting;
    auto FirstBehind = Waiting.lower_bound({Deadline, RequestId()});
    OwnAhead = std::distance(Waiting.begin(), FirstBehind);
  }
  std::size_t Result = OwnAhead;
  for (const auto &[Name, Value] : WorkspaceQueues) {
    if (Name == Workspace)
      continue;
    // Meanwhile other workspaces are served in proportion to their weights.
    double ServedMeanwhile =
        static_cast<double>(OwnAhead + 1) * Value.Weight / OwnWeight;
    Result += std::min(Value.Waiting.size(),
                       static_cast<std::size_t>(ServedMeanwhile));
  }
  return Result;
}

} // namespace banyanworks
