/// \file
/// Implements the tables of enumerator names.
#include "model/EnumNames.h"

#include <array>

namespace banyanworks {

namespace {

constexpr std::array<EnumName<Adjacency>, 4> AdjacencyNames = {{
    {Adjacency::None, "none"},
    {Adjacency::NeighbouringRacks, "neighbouring-racks"},
    {Adjacency::SameRack, "rack"},
    {Adjacency::SameWorker, "worker"},
}};

constexpr std::array<EnumName<Priority>, 3> PriorityNames = {{
    {Priority::Batch, "batch"},
    {Priority::Normal, "normal"},
    {Priority::Urgent, "urgent"},
}};

constexpr std::array<EnumName<JobPhase>, 8> JobPhaseNames = {{
    {JobPhase::Queued, "queued"},
    {JobPhase::Holding, "holding"},
    {JobPhase::Running, "running"},
    {JobPhase::Checkpointing, "checkpointing"},
    {JobPhase::Succeeded, "succeeded"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
    {JobPhase::Refused, "refused"},
}};

constexpr std::array<EnumName<TaskPhase>, 3> TaskPhaseNames = {{
    {TaskPhase::Held, "held"},
    {TaskPhase::Running, "running"},
    {TaskPhase::Checkpointing, "checkpointing"},
}};

constexpr std::array<EnumName<CellLevel>, 3> CellLevelNames = {{
    {CellLevel::Group, "group"},
    {CellLevel::Worker, "worker"},
    {CellLevel::Rack, "rack"},
}};

constexpr std::array<EnumName<DrainPolicy>, 3> DrainPolicyNames = {{
    {DrainPolicy::Finish, "finish"},
    {DrainPolicy::Checkpoint, "checkpoint"},
    {DrainPolicy::Stop, "stop"},
}};

} // namespace

std::span<const EnumName<Adjacency>> enumNames(Adjacency) {
  return AdjacencyNames;
}
std::span<const EnumName<Priority>> enumNames(Priority) {
  return PriorityNames;
}
std::span<const EnumName<JobPhase>> enumNames(JobPhase) {
  return JobPhaseNames;
}
std::span<const EnumName<TaskPhase>> enumNames(TaskPhase) {
  return TaskPhaseNames;
}
std::span<const EnumName<CellLevel>> enumNames(CellLevel) {
  return CellLevelNames;
}
std::span<const EnumName<DrainPolicy>> enumNames(DrainPolicy) {
  return DrainPolicyNames;
}

} // namespace banyanworks
