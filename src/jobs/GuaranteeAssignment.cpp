/// \file
/// Implements the assignment of guaranteed cells to failure domains.
#include "jobs/GuaranteeAssignment.h"

#include "base/Reason.h"
#include "jobs/CellPacking.h"

#include <algorithm>
#include <deque>
#include <map>

namespace banyanworks {

namespace {

/// One guaranteed cell to be assigned; Cell.Domain is empty if any domain will
/// do.
struct PlannedCell {
  WorkspaceId Workspace;
  GuaranteedCell Cell;
  CellShape Shape;
};

/// The workers of a failure domain and the cells assigned to it.
struct DomainAssignment {
  CellTree Cells;
  std::vector<std::int32_t> Demand;
  std::int32_t AssignedAccelerators = 0;
};

bool isValidCell(const GuaranteedCell &Cell) {
  bool Sized = Cell.Level == CellLevel::Group
                   ? Cell.Accelerators > 0 &&
                         Cell.Accelerators <= MaxAcceleratorsPerWorker
                   : Cell.Level == CellLevel::Worker || Cell.Workers > 0;
  return Sized && Cell.Count >= 0;
}

std::string describe(const PlannedCell &Planned) {
  const CellShape &Shape = Planned.Shape;
  std::string Size = Shape.Level == CellLevel::Group
                         ? std::to_string(Shape.Accelerators) + " accelerators"
                         : std::to_string(Shape.Workers) + " workers";
  std::string Model =
      Shape.AcceleratorModel.empty() ? "" : " of " + Shape.AcceleratorModel;
  return "workspace " + Planned.Workspace.str() + ", a cell of " + Size + Model;
}

class Planner {
public:
  Planner(const Configuration &Requested,
          const std::vector<WorkerInfo> &Workers,
          const Configuration *FormerConfig)
      : Requested(Requested), FormerConfig(FormerConfig) {
    for (const auto &Entry : Requested.Domains)
      Assignments[Entry.first];
    for (const WorkerInfo &Worker : Workers) {
      if (auto Share = Assignments.find(Worker.Domain);
          Share != Assignments.end())
        Share->second.Cells.addWorker(Worker);
    }
  }

  Outcome<Configuration> run() {
    if (auto Bad = collect())
      return tl::unexpected<Error>(*Bad);
    for (auto &Entry : Assignments)
      Entry.second.Demand.assign(Shapes.size(), 0);
    std::ranges::stable_sort(
        Planned, [](const PlannedCell &Left, const PlannedCell &Right) {
          bool LeftFixed = !Left.Cell.Domain.empty();
          bool RightFixed = !Right.Cell.Domain.empty();
          if (LeftFixed != RightFixed)
            return LeftFixed;
          return packsBefore(Left.Shape, Right.Shape);
        });
    for (const PlannedCell &Next : Planned) {
      if (!place(Next))
        return fail(Reason::GuaranteesDoNotFit,
                    describe(Next) + " does not fit beside the others");
    }
    return result();
  }

private:
  std::optional<Error> collect();
  bool place(const PlannedCell &Next);
  bool assign(const DomainId &Domain, const PlannedCell &Next);
  std::optional<DomainId> takeFormerDomain(const PlannedCell &Next);
  Configuration result() const;

  const Configuration &Requested;
  const Configuration *FormerConfig;
  std::map<DomainId, DomainAssignment> Assignments;
  std::vector<CellShape> Shapes;
  std::vector<PlannedCell> Planned;
  std::map<WorkspaceId, std::vector<GuaranteedCell>> Assigned;
  std::map<WorkspaceId, std::vector<GuaranteedCell>> UnmatchedFormer;
};

std::optional<Error> Planner::collect() {
  for (const auto &[Id, Workspace] : Requested.Workspaces) {
    for (const GuaranteedCell &Cell : Workspace.Guarantee) {
      if (!isValidCell(Cell))
        return Error(Reason::InvalidArgument,
                     "workspace " + Id.str() + " has a cell without a size");
      if (!Cell.Domain.empty() && !Assignments.contains(Cell.Domain)) {
        return Error(Reason::UnknownDomain, "workspace " + Id.str() +
                                                " names failure domain " +
                                                Cell.Domain.str());
      }
      PlannedCell One{Id, Cell, shapeOf(Cell)};
      One.Cell.Count = 1;
      Planned.insert(Planned.end(), Cell.Count, One);
      if (std::ranges::find(Shapes, One.Shape) == Shapes.end())
        Shapes.push_back(One.Shape);
    }
  }
  std::ranges::sort(Shapes, packsBefore);
  if (FormerConfig != nullptr)
    for (const auto &[Id, Workspace] : FormerConfig->Workspaces)
      UnmatchedFormer[Id] = Workspace.Guarantee;
  return std::nullopt;
}

std::optional<DomainId> Planner::takeFormerDomain(const PlannedCell &Next) {
  for (GuaranteedCell &Cell : UnmatchedFormer[Next.Workspace]) {
    if (Cell.Count <= 0 || Cell.Domain.empty() || shapeOf(Cell) != Next.Shape)
      continue;
    --Cell.Count;
    return Cell.Domain;
  }
  return std::nullopt;
}

bool Planner::assign(const DomainId &Domain, const PlannedCell &Next) {
  auto Found = Assignments.find(Domain);
  if (Found == Assignments.end())
    return false;
  DomainAssignment &Share = Found->second;
  std::size_t Index = std::ranges::find(Shapes, Next.Shape) - Shapes.begin();
  ++Share.Demand[Index];
  if (!CellPacking(Share.Cells, Shapes).canPack(Share.Demand)) {
    --Share.Demand[Index];
    return false;
  }
  for (const WorkerKind &Kind : Share.Cells.kinds()) {
    if (Next.Shape.matches(Kind)) {
      Share.AssignedAccelerators += Next.Shape.acceleratorCount(Kind);
      break;
    }
  }
  auto &Cells = Assigned[Next.Workspace];
  GuaranteedCell Cell = Next.Cell;
  Cell.Domain = Domain;
  for (GuaranteedCell &Same : Cells) {
    Cell.Count = Same.Count;
    if (Same != Cell)
      continue;
    ++Same.Count;
    return true;
  }
  Cell.Count = 1;
  Cells.push_back(std::move(Cell));
  return true;
}

bool Planner::place(const PlannedCell &Next) {
  if (!Next.Cell.Domain.empty())
    return assign(Next.Cell.Domain, Next);
  if (auto Before = takeFormerDomain(Next); Before && assign(*Before, Next))
    return true;
  // Domains are tried by increasing assigned fraction of their accelerators, so
  // that each keeps capacity that can be borrowed. Ties are broken by name.
  std::vector<std::pair<double, DomainId>> Order;
  for (const auto &[Id, Share] : Assignments) {
    std::int32_t All = Share.Cells.capacity().Accelerators;
    if (All > 0)
      Order.emplace_back(double(Share.AssignedAccelerators) / All, Id);
  }
  std::ranges::sort(Order);
  return std::ranges::any_of(
      Order, [&](const auto &Entry) { return assign(Entry.second, Next); });
}

Configuration Planner::result() const {
  Configuration Result = Requested;
  for (auto &[Id, Workspace] : Result.Workspaces) {
    auto Cells = Assigned.find(Id);
    Workspace.Guarantee =
        Cells == Assigned.end() ? std::vector<GuaranteedCell>() : Cells->second;
  }
  return Result;
}

} // namespace

Outcome<Configuration> assignGuarantees(const Configuration &Requested,
                                        const std::vector<WorkerInfo> &Workers,
                                        const Configuration *FormerConfig) {
  return Planner(Requested, Workers, FormerConfig).run();
}

} // namespace banyanworks
