/// \file
/// Implements JobProgress and its stored form.
#include "pool/JobProgress.h"

#include "model/JsonFields.h"

#include <algorithm>

namespace banyanworks::pool {

using nlohmann::json;

JobProgress::JobProgress(const JobSpec &Spec) {
  StepsPerOccurrence = static_cast<std::uint32_t>(Spec.Steps.size());
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.occurrenceCount();
       ++Occurrence) {
    for (std::uint32_t Step = 0; Step < StepsPerOccurrence; ++Step) {
      StepOffsets.push_back(static_cast<std::uint32_t>(Groups.size()));
      const StepSpec &CurrentStep = Spec.Steps[Step];
      std::uint32_t Members = CurrentStep.Gang ? CurrentStep.Tasks : 1;
      std::uint32_t Count = CurrentStep.Gang ? 1 : CurrentStep.Tasks;
      for (std::uint32_t Index = 0; Index < Count; ++Index) {
        TaskGroup Group;
        Group.Occurrence = Occurrence;
        Group.Step = Step;
        Group.FirstIndex = Index;
        Group.Members = Members;
        Groups.push_back(std::move(Group));
      }
    }
  }
  StepOffsets.push_back(static_cast<std::uint32_t>(Groups.size()));
  computeParts();
}

void JobProgress::computeParts() {
  std::uint32_t TasksInPart = 0;
  for (std::uint32_t Index = 0; Index < Groups.size(); ++Index) {
    std::uint32_t Members = Groups[Index].Members;
    if (TasksInPart > 0 && TasksInPart + Members > TasksPerPart) {
      PartStarts.push_back(Index);
      TasksInPart = 0;
    }
    TasksInPart += Members;
  }
  PartStarts.push_back(static_cast<std::uint32_t>(Groups.size()));
  Stored.resize(partCount());
}

std::size_t JobProgress::partOf(const TaskGroup &Group) const {
  auto Index = static_cast<std::uint32_t>(&Group - Groups.data());
  auto Next = std::upper_bound(PartStarts.begin(), PartStarts.end(), Index);
  return static_cast<std::size_t>(Next - PartStarts.begin()) - 1;
}

std::span<TaskGroup> JobProgress::groupsOf(std::uint32_t Occurrence,
                                           std::uint32_t Step) {
  std::size_t StepIndex = std::size_t{Occurrence} * StepsPerOccurrence + Step;
  return {Groups.begin() + StepOffsets[StepIndex],
          Groups.begin() + StepOffsets[StepIndex + 1]};
}

TaskGroup *JobProgress::findGroup(const TaskKey &Task) {
  if (Task.Step >= StepsPerOccurrence)
    return nullptr;
  std::size_t StepIndex =
      std::size_t{Task.Occurrence} * StepsPerOccurrence + Task.Step;
  if (StepIndex + 1 >= StepOffsets.size())
    return nullptr;
  std::uint32_t First = StepOffsets[StepIndex];
  std::uint32_t Count = StepOffsets[StepIndex + 1] - First;
  if (Count == 1 && Task.Index < Groups[First].Members)
    return &Groups[First];
  return Task.Index < Count ? &Groups[First + Task.Index] : nullptr;
}

bool JobProgress::isReady(const JobSpec &Spec, const TaskGroup &Group) const {
  for (std::uint32_t Earlier : Spec.Steps[Group.Step].After) {
    std::size_t StepIndex =
        std::size_t{Group.Occurrence} * StepsPerOccurrence + Earlier;
    for (std::uint32_t GroupIndex = StepOffsets[StepIndex];
         GroupIndex < StepOffsets[StepIndex + 1]; ++GroupIndex)
      if (Groups[GroupIndex].State != GroupState::Done)
        return false;
  }
  return true;
}

bool JobProgress::allDone() const {
  return std::all_of(Groups.begin(), Groups.end(), [](const TaskGroup &Group) {
    return Group.State == GroupState::Done;
  });
}

namespace {

/// Encodes the losses of a group as a row that begins with the group's index.
/// They stand beside the rows of the groups, where former versions expect
/// workers.
void encodeLosses(std::size_t GroupIndex, const CrashRecord &Crashes,
                  json &Rows) {
  for (const WorkerLoss &Loss : Crashes.losses()) {
    Rows.push_back({GroupIndex, Loss.Member, Loss.Worker.str(), Loss.Address,
                    Loss.Life.value(), static_cast<int>(Loss.Age),
                    Loss.OnlyStart, Loss.InOutage, Loss.Proven,
                    Loss.Run.value(), /*MayHaveStarted=*/true});
  }
}

WorkerLoss decodeLoss(const json &Row) {
  WorkerLoss Loss;
  Loss.Member = Row.at(1).get<std::uint32_t>();
  Loss.Worker = WorkerId(Row.at(2).get<std::string>());
  Loss.Address = Row.at(3).get<std::string>();
  Loss.Life = Incarnation(Row.at(4).get<std::uint64_t>());
  int Age = Row.at(5).get<int>();
  if (Age < 0 || Age > static_cast<int>(LossAge::AtStart))
    throw std::invalid_argument("unknown age of a lost run");
  Loss.Age = static_cast<LossAge>(Age);
  Loss.OnlyStart = Row.at(6).get<bool>();
  Loss.InOutage = Row.at(7).get<bool>();
  Loss.Proven = Row.at(8).get<bool>();
  // Earlier versions do not store the run.
  if (Row.size() > 9)
    Loss.Run = RunNumber(Row.at(9).get<std::uint64_t>());
  return Loss;
}

} // namespace

std::string JobProgress::encodeGroups(std::size_t First, std::size_t End,
                                      const Omissions &Omitted) const {
  json Rows = json::array();
  json Losses = json::array();
  json Lives = json::array();
  for (std::size_t GroupIndex = First; GroupIndex < End; ++GroupIndex) {
    const TaskGroup &Group = Groups[GroupIndex];
    if (Group.Run == RunNumber())
      continue;
    bool HasCheckpoint = Group.State != GroupState::Done &&
                         Group.Checkpoint.size() < Omitted.CheckpointsFrom;
    json Row = {GroupIndex,
                static_cast<int>(Group.State),
                Group.Run.value(),
                Group.Failures,
                Group.LastFailed.value(),
                HasCheckpoint ? Group.Checkpoint : ""};
    if (Group.State == GroupState::Active)
      for (const WorkerId &Worker : Group.Workers)
        Row.push_back(Worker.str());
    Rows.push_back(std::move(Row));
    if (Group.State == GroupState::Done || Group.Crashes.empty() ||
        Omitted.Losses)
      continue;
    encodeLosses(GroupIndex, Group.Crashes, Losses);
    json LivesRow = {GroupIndex};
    for (Incarnation Life : Group.Lives)
      LivesRow.push_back(Life.value());
    Lives.push_back(std::move(LivesRow));
  }
  json Record = {{"groups", std::move(Rows)}};
  if (!Losses.empty()) {
    Record["losses"] = std::move(Losses);
    Record["lives"] = std::move(Lives);
  }
  if (Failed)
    Record["failed"] = true;
  return Record.dump();
}

std::string JobProgress::encode() const {
  return encodeGroups(0, Groups.size(), {});
}

std::string JobProgress::encodePart(std::size_t Part,
                                    std::size_t MaxBytes) const {
  std::size_t First = PartStarts[Part];
  std::size_t End = PartStarts[Part + 1];
  Omissions Omitted;
  std::string Text = encodeGroups(First, End, Omitted);
  if (Text.size() <= MaxBytes)
    return Text;
  std::vector<std::size_t> Lengths;
  for (std::size_t Index = First; Index < End; ++Index)
    if (!Groups[Index].Checkpoint.empty())
      Lengths.push_back(Groups[Index].Checkpoint.size());
  std::sort(Lengths.begin(), Lengths.end());
  while (Text.size() > MaxBytes && !Lengths.empty()) {
    // Escapes make the encoded checkpoint longer, so that one pass may not do.
    std::size_t Saved = 0;
    while (!Lengths.empty() && Saved < Text.size() - MaxBytes) {
      Omitted.CheckpointsFrom = Lengths.back();
      Saved += Lengths.back();
      Lengths.pop_back();
    }
    Text = encodeGroups(First, End, Omitted);
  }
  if (Text.size() > MaxBytes) {
    Omitted.Losses = true;
    Text = encodeGroups(First, End, Omitted);
  }
  return Text;
}

Outcome<JobProgress> JobProgress::decode(const JobSpec &Spec,
                                         const std::string &Text) {
  JobProgress Result(Spec);
  auto Read = Result.addPart(0, Text);
  if (!Read)
    return tl::unexpected(Read.error());
  return Result;
}

Outcome<void> JobProgress::addPart(std::size_t Part, const std::string &Text) {
  auto Read = decodeJson(Text, [&](const json &Record) {
    Stored.at(Part) = true;
    Failed = Failed || Record.value("failed", false);
    for (const json &Row : Record.at("groups")) {
      TaskGroup &Group = Groups.at(Row.at(0).get<std::size_t>());
      Undivided = Undivided || partOf(Group) != Part;
      int State = Row.at(1).get<int>();
      if (State < 0 || State > static_cast<int>(GroupState::Done))
        throw std::invalid_argument("unknown state of a task group");
      Group.State = static_cast<GroupState>(State);
      Group.Run = RunNumber(Row.at(2).get<std::uint64_t>());
      Group.Failures = Row.at(3).get<std::uint32_t>();
      Group.LastFailed = RunNumber(Row.at(4).get<std::uint64_t>());
      Group.Checkpoint = Row.at(5).get<std::string>();
      Group.Workers.clear();
      for (std::size_t Column = 6; Column < Row.size(); ++Column)
        Group.Workers.emplace_back(Row[Column].get<std::string>());
      if (Group.State == GroupState::Active &&
          Group.Workers.size() != Group.Members)
        throw std::invalid_argument(
            "active task group does not list a worker for each member");
      // A part replaces what an undivided record holds of its groups.
      Group.Crashes = CrashRecord();
      Group.Lives.clear();
    }
    for (const json &Row : Record.value("losses", json::array())) {
      WorkerLoss Loss = decodeLoss(Row);
      // Earlier versions also recorded runs whose orders had done nothing.
      bool MayHaveStarted = Row.size() > 10 && Row.at(10).get<bool>();
      if (Loss.Age == LossAge::Unknown && !MayHaveStarted)
        continue;
      Groups.at(Row.at(0).get<std::size_t>()).Crashes.add(std::move(Loss));
    }
    for (const json &Row : Record.value("lives", json::array())) {
      TaskGroup &Group = Groups.at(Row.at(0).get<std::size_t>());
      for (std::size_t Column = 1; Column < Row.size(); ++Column)
        Group.Lives.emplace_back(Row[Column].get<std::uint64_t>());
    }
    return true;
  });
  if (!Read)
    return tl::unexpected(Read.error());
  return {};
}

} // namespace banyanworks::pool
