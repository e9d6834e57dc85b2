/// \file
/// Implements the scheduler's view of the capacity of one failure domain.
#include "jobs/DomainCapacity.h"

#include "base/Check.h"
#include "kernel/Registry.h"

#include <utility>

namespace banyanworks {

namespace {

template <typename Policy> Policy makePolicy(const std::string &Name) {
  auto NewPolicy = Registry<Policy>::instance().make(Name);
  BANYANWORKS_CHECK(NewPolicy,
                    "settings with an unknown policy were not rejected");
  return *NewPolicy;
}

} // namespace

DomainCapacity::DomainCapacity(const SchedulerSettings &Settings,
                               DomainId Domain)
    : PlaceGang(makePolicy<PlacementPolicy>(Settings.PlacementPolicy)),
      ChooseVictims(makePolicy<VictimPolicy>(Settings.VictimPolicy)),
      Domain(std::move(Domain)), Ledger(Cells), NoGuarantees(EmptyCells) {}

void DomainCapacity::configure(const Configuration &Config) {
  Ledger.configure(Config, Domain);
  ++ReleaseVersion;
}

std::vector<TaskId> DomainCapacity::addWorker(const WorkerInfo &Info) {
  EmptyCells.addWorker(Info);
  FitsEmptyDomain.clear();
  ++ReleaseVersion;
  return Cells.addWorker(Info);
}

void DomainCapacity::removeWorker(const WorkerId &Id) {
  Cells.removeWorker(Id);
}

void DomainCapacity::forgetWorker(const WorkerId &Id) {
  EmptyCells.removeWorker(Id);
  FitsEmptyDomain.clear();
}

void DomainCapacity::clear() {
  std::vector<WorkerId> WorkerIds;
  for (const WorkerCell &Cell : EmptyCells.cells()) {
    if (Cell.Present)
      WorkerIds.push_back(Cell.Info.Id);
  }
  for (const WorkerId &Id : WorkerIds) {
    Cells.removeWorker(Id);
    EmptyCells.removeWorker(Id);
  }
  for (const auto &[Job, Account] : Accounts)
    Ledger.discharge(Job);
  Accounts.clear();
  Pins.clear();
  Usages.clear();
  FitsEmptyDomain.clear();
  ++ReleaseVersion;
}

PlacementResult DomainCapacity::place(const GangRequest &Request) const {
  return PlaceGang(Cells, Ledger, Request);
}

VictimPlan DomainCapacity::victims(const GangRequest &Request,
                                   const std::vector<RunningGang> &Running,
                                   TimePoint Now) const {
  return ChooseVictims(Cells, Ledger, Request, Running, Now);
}

bool DomainCapacity::occupy(const JobSpec &Spec, std::uint64_t Run,
                            const std::vector<MemberPlacement> &Members,
                            bool UnderGuarantee) {
  for (std::uint32_t Index = 0; Index != Members.size(); ++Index) {
    // An allocation that a worker reported may conflict with a stale one here.
    // The report of the worker takes precedence, so a failure is ignored.
    Cells.allocate(TaskId{Spec.Id, Run, Index}, Members[Index].Worker,
                   Spec.PerMember, Members[Index].Accelerators);
  }
  bool Charged = UnderGuarantee && Ledger.charge(Spec, Members);
  Account Entry{Spec.Workspace,
                Spec.PerMember * static_cast<std::int32_t>(Spec.Members),
                Charged};
  WorkspaceUsage &Usage = Usages[Spec.Workspace];
  Usage.InUse += Entry.Total;
  if (!Charged)
    Usage.Borrowed += Entry.Total;
  ++Usage.RunningJobs;
  Accounts.insert_or_assign(Spec.Id, std::move(Entry));
  return Charged;
}

bool DomainCapacity::pin(JobId Job,
                         const std::vector<MemberPlacement> &Members) {
  std::vector<Pin> NewPins;
  bool Possible = true;
  for (const MemberPlacement &Member : Members) {
    std::optional<WorkerSlot> Slot = Cells.slotOf(Member.Worker);
    Possible =
        Slot && (Member.Accelerators & ~Cells.cell(*Slot).unboundMask()) == 0;
    if (!Possible)
      break;
    Cells.bind(*Slot, Member.Accelerators);
    NewPins.push_back(
        Pin{*Slot, Cells.cell(*Slot).Serial, Member.Accelerators});
  }
  if (Possible && Ledger.canPackAll()) {
    Pins.insert_or_assign(Job, std::move(NewPins));
    return true;
  }
  unbindPins(NewPins);
  return false;
}

void DomainCapacity::unpin(JobId Job) {
  auto Pinned = Pins.find(Job);
  if (Pinned == Pins.end())
    return;
  unbindPins(Pinned->second);
  Pins.erase(Pinned);
}

void DomainCapacity::unbindPins(const std::vector<Pin> &Pinned) {
  for (const Pin &Each : Pinned) {
    const WorkerCell &Cell = Cells.cell(Each.Slot);
    // The bindings of a removed worker do not apply to a later worker in its
    // slot.
    if (Cell.Present && Cell.Serial == Each.Serial)
      Cells.unbind(Each.Slot, Each.Accelerators);
  }
}

void DomainCapacity::releaseMember(const TaskId &Task) {
  if (Cells.release(Task))
    ++ReleaseVersion;
}

void DomainCapacity::closeAccount(const JobSpec &Spec) {
  auto Found = Accounts.find(Spec.Id);
  if (Found == Accounts.end())
    return;
  const Account &Entry = Found->second;
  WorkspaceUsage &Usage = Usages[Entry.Workspace];
  Usage.InUse -= Entry.Total;
  if (!Entry.Charged)
    Usage.Borrowed -= Entry.Total;
  if (--Usage.RunningJobs == 0)
    Usages.erase(Entry.Workspace);
  Ledger.discharge(Spec.Id);
  unpin(Spec.Id);
  Accounts.erase(Found);
  ++ReleaseVersion;
}

bool DomainCapacity::fitsEmptyDomain(const JobSpec &Spec) {
  auto [Found, Inserted] = FitsEmptyDomain.try_emplace(JobShape(Spec), false);
  if (!Inserted)
    return Found->second;
  GangRequest Request{std::make_shared<const JobSpec>(Spec), false, {}};
  Found->second = PlaceGang(EmptyCells, NoGuarantees, Request).placed();
  return Found->second;
}

WorkspaceUsage DomainCapacity::usage(const WorkspaceId &Workspace) const {
  auto Found = Usages.find(Workspace);
  return Found == Usages.end() ? WorkspaceUsage{} : Found->second;
}

} // namespace banyanworks
