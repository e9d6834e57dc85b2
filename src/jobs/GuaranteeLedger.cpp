/// \file
/// Implements the guarantees of one failure domain.
#include "jobs/GuaranteeLedger.h"

#include "jobs/GuaranteeCover.h"
#include "jobs/TentativeCharge.h"

#include <algorithm>
#include <bit>

namespace banyanworks {

bool BoundCell::unused() const {
  return std::ranges::all_of(
      Parts, [](const BoundPart &Part) { return Part.Used == 0; });
}

void GuaranteeLedger::configure(const Configuration &Config,
                                const DomainId &Domain) {
  std::map<WorkspaceId, std::vector<GuaranteedCell>> Local;
  Shapes.clear();
  for (const auto &[Id, Workspace] : Config.Workspaces) {
    for (const GuaranteedCell &Cell : Workspace.Guarantee) {
      if (Cell.Domain != Domain || Cell.Count <= 0)
        continue;
      Local[Id].push_back(Cell);
      CellShape Shape = shapeOf(Cell);
      if (std::ranges::find(Shapes, Shape) == Shapes.end())
        Shapes.push_back(Shape);
    }
  }
  std::ranges::sort(Shapes, packsBefore);
  for (auto &Entry : Accounts)
    Entry.second.Guaranteed.assign(Shapes.size(), 0);
  for (const auto &[Id, Guarantee] : Local) {
    Account &Own = Accounts[Id];
    Own.Guaranteed.resize(Shapes.size());
    for (const GuaranteedCell &Cell : Guarantee)
      Own.Guaranteed[shapeIndex(shapeOf(Cell))] += Cell.Count;
  }
  updateCellCounts();
}

std::size_t GuaranteeLedger::shapeIndex(const CellShape &Shape) const {
  return std::ranges::find(Shapes, Shape) - Shapes.begin();
}

void GuaranteeLedger::updateCellCounts() {
  Unbound.assign(Shapes.size(), 0);
  for (auto &Entry : Accounts) {
    Account &Own = Entry.second;
    Own.Bound.assign(Shapes.size(), 0);
    for (BoundCellId Id : Own.BoundIds) {
      if (std::size_t Index = shapeIndex(BoundCells[Id].Shape);
          Index < Shapes.size())
        ++Own.Bound[Index];
    }
    for (std::size_t Index = 0; Index < Shapes.size(); ++Index)
      Unbound[Index] += std::max(Own.Guaranteed[Index] - Own.Bound[Index], 0);
  }
}

bool GuaranteeLedger::coversGang(const JobSpec &Spec) const {
  return Accounts.contains(Spec.Workspace) &&
         guaranteeCovers(Cells, *this, Spec);
}

bool GuaranteeLedger::canCharge(
    const JobSpec &Spec, const std::vector<MemberPlacement> &Members) const {
  if (isCharged(Spec.Id) || !Accounts.contains(Spec.Workspace))
    return false;
  TentativeCharge Draft(Cells, *this, Spec.Workspace);
  return Draft.chargeMembers(Spec, Members);
}

bool GuaranteeLedger::charge(const JobSpec &Spec,
                             const std::vector<MemberPlacement> &Members) {
  if (isCharged(Spec.Id) || !Accounts.contains(Spec.Workspace))
    return false;
  TentativeCharge Draft(Cells, *this, Spec.Workspace);
  if (!Draft.chargeMembers(Spec, Members))
    return false;
  commit(Spec, Draft);
  return true;
}

void GuaranteeLedger::commit(const JobSpec &Spec, TentativeCharge &Draft) {
  for (std::size_t Index = Draft.Ids.size(); Index < Draft.Bound.size();
       ++Index)
    Draft.Ids.push_back(addBound(Draft.Bound[Index]));
  Charge NewCharge{Spec.Workspace, {}, 0};
  for (const CellUse &Use : Draft.Uses) {
    BoundCellId Id = Draft.Ids[Use.Cell];
    BoundCells[Id].Parts[Use.Part].Used |= Use.Accelerators;
    NewCharge.Uses.push_back({Id, Use.Part, Use.Accelerators});
    NewCharge.Accelerators += std::popcount(Use.Accelerators);
  }
  Accounts[Spec.Workspace].Used += NewCharge.Accelerators;
  Charges.emplace(Spec.Id, std::move(NewCharge));
}

void GuaranteeLedger::discharge(JobId Job) {
  auto Found = Charges.find(Job);
  if (Found == Charges.end())
    return;
  Charge OldCharge = std::move(Found->second);
  Charges.erase(Found);
  Accounts[OldCharge.Workspace].Used -= OldCharge.Accelerators;
  for (const CellUse &Use : OldCharge.Uses)
    BoundCells[Use.Cell].Parts[Use.Part].Used &= ~Use.Accelerators;
  for (const CellUse &Use : OldCharge.Uses) {
    if (const BoundCell &Cell = BoundCells[Use.Cell];
        !Cell.Parts.empty() && Cell.unused())
      removeBound(Use.Cell);
  }
}

BoundCellId GuaranteeLedger::addBound(BoundCell Cell) {
  for (BoundPart &Part : Cell.Parts) {
    Cells.bind(Part.Slot, Part.Accelerators);
    Part.Used = 0;
  }
  Account &Own = Accounts[Cell.Workspace];
  std::size_t Index = shapeIndex(Cell.Shape);
  ++Own.Bound[Index];
  --Unbound[Index];
  BoundCellId Id = 0;
  if (VacantIds.empty()) {
    Id = static_cast<BoundCellId>(BoundCells.size());
    BoundCells.push_back(std::move(Cell));
  } else {
    Id = VacantIds.back();
    VacantIds.pop_back();
    BoundCells[Id] = std::move(Cell);
  }
  Own.BoundIds.push_back(Id);
  return Id;
}

void GuaranteeLedger::removeBound(BoundCellId Id) {
  BoundCell Cell = std::move(BoundCells[Id]);
  BoundCells[Id] = BoundCell();
  VacantIds.push_back(Id);
  for (const BoundPart &Part : Cell.Parts)
    if (Cells.cell(Part.Slot).Serial == Part.Serial)
      Cells.unbind(Part.Slot, Part.Accelerators);
  Account &Own = Accounts[Cell.Workspace];
  std::erase(Own.BoundIds, Id);
  std::size_t Index = shapeIndex(Cell.Shape);
  if (Index >= Shapes.size())
    return;
  --Own.Bound[Index];
  if (Own.Bound[Index] < Own.Guaranteed[Index])
    ++Unbound[Index];
}

bool GuaranteeLedger::canPackAll() const {
  return CellPacking(Cells, Shapes).canPack(Unbound);
}

std::int32_t
GuaranteeLedger::guaranteedAccelerators(const WorkspaceId &Workspace) const {
  auto Own = Accounts.find(Workspace);
  if (Own == Accounts.end())
    return 0;
  std::int32_t Result = 0;
  for (std::size_t Index = 0; Index < Shapes.size(); ++Index) {
    std::int32_t OneCell = 0;
    for (const WorkerKind &Kind : Cells.kinds())
      if (Shapes[Index].matches(Kind))
        OneCell = std::max(OneCell, Shapes[Index].acceleratorCount(Kind));
    Result += OneCell * Own->second.Guaranteed[Index];
  }
  return Result;
}

std::int32_t
GuaranteeLedger::usedAccelerators(const WorkspaceId &Workspace) const {
  auto Own = Accounts.find(Workspace);
  return Own == Accounts.end() ? 0 : Own->second.Used;
}

std::vector<std::int32_t>
GuaranteeLedger::unboundCellsOf(const WorkspaceId &Workspace) const {
  std::vector<std::int32_t> Result(Shapes.size(), 0);
  auto Own = Accounts.find(Workspace);
  if (Own == Accounts.end())
    return Result;
  for (std::size_t Index = 0; Index < Shapes.size(); ++Index)
    Result[Index] =
        std::max(Own->second.Guaranteed[Index] - Own->second.Bound[Index], 0);
  return Result;
}

std::vector<BoundCellId>
GuaranteeLedger::boundCellIds(const WorkspaceId &Workspace) const {
  auto Own = Accounts.find(Workspace);
  return Own == Accounts.end() ? std::vector<BoundCellId>()
                               : Own->second.BoundIds;
}

} // namespace banyanworks
