/// \file
/// Implements the queues of waiting jobs.
#include "jobs/JobQueue.h"

#include <algorithm>
#include <iterator>

namespace banyanworks {

bool JobShape::requiresAtLeast(const JobShape &Other) const {
  // Requests with different required adjacency are not comparable.
  bool SameAdjacency =
      !AdjacencyRequired
          ? !Other.AdjacencyRequired
          : Other.AdjacencyRequired && MemberAdjacency == Other.MemberAdjacency;
  return SameAdjacency && Members >= Other.Members &&
         MilliCores >= Other.MilliCores && MemoryMiB >= Other.MemoryMiB &&
         Accelerators >= Other.Accelerators;
}

void WorkspaceQueue::insert(const QueueKey &Key, const JobShape &Shape) {
  std::set<QueueKey> &Keys = Shapes[Shape];
  if (!Keys.empty())
    Heads.erase(Head{*Keys.begin(), Shape});
  if (Keys.insert(Key).second)
    ++Count;
  Heads.insert(Head{*Keys.begin(), Shape});
}

void WorkspaceQueue::erase(const QueueKey &Key, const JobShape &Shape) {
  auto Found = Shapes.find(Shape);
  if (Found == Shapes.end() || !Found->second.contains(Key))
    return;
  std::set<QueueKey> &Keys = Found->second;
  Heads.erase(Head{*Keys.begin(), Shape});
  Keys.erase(Key);
  --Count;
  if (Keys.empty())
    Shapes.erase(Found);
  else
    Heads.insert(Head{*Keys.begin(), Shape});
}

std::vector<JobId> WorkspaceQueue::jobsOfShape(const JobShape &Shape) const {
  std::vector<JobId> Result;
  auto Found = Shapes.find(Shape);
  if (Found == Shapes.end())
    return Result;
  for (const QueueKey &Key : Found->second)
    Result.push_back(Key.Job);
  return Result;
}

std::uint32_t WorkspaceQueue::jobsAhead(const QueueKey &Key) const {
  std::uint32_t Result = 0;
  for (const auto &[Shape, Keys] : Shapes)
    Result += std::distance(Keys.begin(), Keys.lower_bound(Key));
  return Result;
}

void JobQueue::insert(const WorkspaceId &Workspace, const QueueKey &Key,
                      const JobShape &Shape) {
  WorkspaceQueue &Queue = Queues[Workspace];
  std::size_t Before = Queue.size();
  Queue.insert(Key, Shape);
  Count += Queue.size() - Before;
}

void JobQueue::erase(const WorkspaceId &Workspace, const QueueKey &Key,
                     const JobShape &Shape) {
  auto Found = Queues.find(Workspace);
  if (Found == Queues.end())
    return;
  std::size_t Before = Found->second.size();
  Found->second.erase(Key, Shape);
  Count -= Before - Found->second.size();
  if (Found->second.size() == 0)
    Queues.erase(Found);
}

void JobQueue::clear() {
  Queues.clear();
  Count = 0;
}

const WorkspaceQueue *JobQueue::queue(const WorkspaceId &Workspace) const {
  auto Found = Queues.find(Workspace);
  return Found == Queues.end() ? nullptr : &Found->second;
}

} // namespace banyanworks
