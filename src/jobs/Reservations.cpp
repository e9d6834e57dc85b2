/// \file
/// Implements the reservations of waiting gangs.
#include "jobs/Reservations.h"

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

/// Maximum number of reservations at one time.
constexpr std::size_t MaxReservations = 3;

/// A reservation is recomputed after this time.
constexpr Duration RefreshInterval = std::chrono::seconds(10);

/// A reservation that was not recomputed for this long is dropped.
constexpr Duration ExpireAfter = std::chrono::minutes(2);

/// The time at which a worker can hold one more member.
struct Availability {
  TimePoint AvailableAt;
  WorkerSlot Slot = 0;
};

struct Plan {
  TimePoint Start = TimePoint::max();
  std::vector<Availability> Chosen;
};

/// Appends to \p Result the times at which the worker can hold its first,
/// second and further members, up to Spec.Members.
void addAvailabilities(const CellTree &Cells, WorkerSlot Slot,
                       const JobSpec &Spec,
                       const Reservations::ExpectedEndFunction &Ends,
                       TimePoint Now, std::vector<Availability> &Result) {
  const WorkerCell &Cell = Cells.cell(Slot);
  if (!Spec.PerMember.fitsIn(Cell.Info.Capacity))
    return;
  std::uint32_t MemberCount = 0;
  Resources Free = Cell.Free;
  auto Take = [&](TimePoint AvailableAt) {
    while (MemberCount < Spec.Members && Spec.PerMember.fitsIn(Free)) {
      Free -= Spec.PerMember;
      ++MemberCount;
      Result.push_back(Availability{AvailableAt, Slot});
    }
  };
  Take(Now);
  if (MemberCount == Spec.Members)
    return;
  std::vector<std::pair<TimePoint, Resources>> Releases;
  Releases.reserve(Cell.Tasks.size());
  for (const TaskId &Task : Cell.Tasks) {
    if (const TaskAllocation *Allocation = Cells.allocationOf(Task))
      Releases.emplace_back(std::max(Now, Ends(Task)), Allocation->Amount);
  }
  std::sort(Releases.begin(), Releases.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  for (const auto &[AvailableAt, Amount] : Releases) {
    Free += Amount;
    Take(AvailableAt);
  }
}

/// Returns the earliest start of the gang within one set of workers.
Plan earliestPlan(std::vector<Availability> Openings, std::uint32_t Members) {
  Plan Result;
  if (Openings.size() < Members)
    return Result;
  std::stable_sort(Openings.begin(), Openings.end(),
                   [](const Availability &Left, const Availability &Right) {
                     return Left.AvailableAt < Right.AvailableAt;
                   });
  Openings.resize(Members);
  Result.Start = Openings.back().AvailableAt;
  Result.Chosen = std::move(Openings);
  return Result;
}

bool contains(const std::vector<WorkerId> &Excluded, const WorkerId &Worker) {
  return std::find(Excluded.begin(), Excluded.end(), Worker) != Excluded.end();
}

/// Returns the candidate sets of workers: all workers, or each rack, worker or
/// range of adjacent racks if adjacency is required.
std::vector<std::vector<WorkerSlot>> candidateWorkerSets(const CellTree &Cells,
                                                         const JobSpec &Spec) {
  std::vector<std::vector<WorkerSlot>> Result;
  std::vector<WorkerSlot> All;
  std::uint32_t Last = 0;
  for (const auto &[Number, Slots] : Cells.racks()) {
    if (Spec.AdjacencyRequired && Spec.MemberAdjacency == Adjacency::SameRack)
      Result.push_back(Slots);
    if (Spec.AdjacencyRequired &&
        Spec.MemberAdjacency == Adjacency::SameWorker) {
      for (WorkerSlot Slot : Slots)
        Result.push_back({Slot});
    }
    bool Adjacent = Spec.AdjacencyRequired &&
                    Spec.MemberAdjacency == Adjacency::NeighbouringRacks;
    if (Adjacent && !All.empty() && Number != Last + 1)
      Result.push_back(std::exchange(All, {}));
    All.insert(All.end(), Slots.begin(), Slots.end());
    Last = Number;
  }
  if (!Spec.AdjacencyRequired || Spec.MemberAdjacency == Adjacency::None ||
      Spec.MemberAdjacency == Adjacency::NeighbouringRacks)
    Result.push_back(std::move(All));
  return Result;
}

} // namespace

void Reservations::reserve(const JobSpec &Spec, const CellTree &Cells,
                           const ExpectedEndFunction &Ends,
                           const std::vector<WorkerId> &Excluded,
                           TimePoint Now) {
  auto Existing = Entries.find(Spec.Id);
  if (Existing != Entries.end() &&
      Now - Existing->second.MadeAt < RefreshInterval)
    return;
  if (Existing == Entries.end() && Entries.size() >= MaxReservations)
    return;
  erase(Spec.Id);
  Plan Best;
  for (const std::vector<WorkerSlot> &Scope :
       candidateWorkerSets(Cells, Spec)) {
    std::vector<Availability> Openings;
    for (WorkerSlot Slot : Scope) {
      const WorkerId &Worker = Cells.cell(Slot).Info.Id;
      // A worker is reserved for one gang only.
      if (ByWorker.contains(Worker) || contains(Excluded, Worker))
        continue;
      addAvailabilities(Cells, Slot, Spec, Ends, Now, Openings);
    }
    Plan Candidate = earliestPlan(std::move(Openings), Spec.Members);
    if (Candidate.Start < Best.Start)
      Best = std::move(Candidate);
  }
  if (Best.Chosen.empty())
    return;
  Reservation &Entry = Entries[Spec.Id];
  Entry.ExpectedStart = Best.Start;
  Entry.MadeAt = Now;
  for (const Availability &Each : Best.Chosen) {
    const WorkerId &Worker = Cells.cell(Each.Slot).Info.Id;
    Entry.Workers.insert(Worker);
    ByWorker[Worker].insert(Spec.Id);
  }
}

void Reservations::erase(JobId Job) {
  auto Found = Entries.find(Job);
  if (Found == Entries.end())
    return;
  for (const WorkerId &Worker : Found->second.Workers) {
    auto Jobs = ByWorker.find(Worker);
    Jobs->second.erase(Job);
    if (Jobs->second.empty())
      ByWorker.erase(Jobs);
  }
  Entries.erase(Found);
}

void Reservations::drop(JobId Job) { erase(Job); }

void Reservations::expire(TimePoint Now) {
  std::vector<JobId> Old;
  for (const auto &[Job, Entry] : Entries) {
    if (Now - Entry.MadeAt > ExpireAfter)
      Old.push_back(Job);
  }
  for (JobId Job : Old)
    erase(Job);
}

void Reservations::clear() {
  Entries.clear();
  ByWorker.clear();
}

const Reservation *Reservations::find(JobId Job) const {
  auto Found = Entries.find(Job);
  return Found == Entries.end() ? nullptr : &Found->second;
}

bool Reservations::conflicts(JobId Job, TimePoint ExpectedEnd,
                             const WorkerId &Worker) const {
  auto Found = ByWorker.find(Worker);
  if (Found == ByWorker.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.end(), [&](JobId Owner) {
        return Owner != Job && ExpectedEnd > Entries.at(Owner).ExpectedStart;
      });
}

std::vector<WorkerId>
Reservations::conflictingWorkers(JobId Job, TimePoint ExpectedEnd) const {
  std::vector<WorkerId> Result;
  for (const auto &[Owner, Entry] : Entries) {
    if (Owner == Job || ExpectedEnd <= Entry.ExpectedStart)
      continue;
    Result.insert(Result.end(), Entry.Workers.begin(), Entry.Workers.end());
  }
  return Result;
}

} // namespace banyanworks
