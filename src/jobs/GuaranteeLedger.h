/// \file
/// Defines GuaranteeLedger, what each workspace is guaranteed in one failure
/// domain and how much of it its running gangs use.
#ifndef BANYANWORKS_JOBS_GUARANTEELEDGER_H
#define BANYANWORKS_JOBS_GUARANTEELEDGER_H

#include "base/Ids.h"
#include "jobs/CellShape.h"
#include "jobs/CellTree.h"
#include "jobs/Placement.h"
#include "model/Configuration.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace banyanworks {

class TentativeCharge;

/// The part of a bound cell that lies on one worker.
struct BoundPart {
  WorkerSlot Slot = 0;
  /// The worker's WorkerCell::Serial; the part is void on any other.
  std::uint64_t Serial = 0;
  AcceleratorMask Accelerators = 0;
  AcceleratorMask Used = 0;
};

/// A guaranteed cell that has its place because a gang uses a part of it. The
/// rest of it stays bound there until the last gang has left it.
struct BoundCell {
  WorkspaceId Workspace;
  CellShape Shape;
  std::vector<BoundPart> Parts;

  bool unused() const;
};

using BoundCellId = std::uint32_t;

/// What one member of a charged gang uses of a bound cell.
struct CellUse {
  BoundCellId Cell = 0;
  std::uint32_t Part = 0;
  AcceleratorMask Accelerators = 0;
};

/// The guarantees of one failure domain. A gang is charged whole when it is
/// placed under its workspace's guarantee and discharged whole at its end;
/// gangs that are not charged run on lent capacity. The invariant is that all
/// unbound cells of all workspaces can be carved together from accelerators
/// that are not bound: those hold loans at most, which can be reclaimed.
class GuaranteeLedger {
public:
  /// Keeps a reference to the tree, which must outlive the ledger.
  explicit GuaranteeLedger(CellTree &Cells) : Cells(Cells) {}
  GuaranteeLedger(const GuaranteeLedger &) = delete;
  GuaranteeLedger &operator=(const GuaranteeLedger &) = delete;

  /// Takes the guaranteed cells of \p Domain from a configuration. Gangs that
  /// are charged stay so; a workspace that now has less may be over it.
  void configure(const Configuration &Config, const DomainId &Domain);

  /// True if the gang fits in its workspace's unused guarantee, wherever that
  /// lies. A demand for adjacency is covered only within one cell.
  bool coversGang(const JobSpec &Spec) const;
  /// True if charge() would charge the gang there.
  bool canCharge(const JobSpec &Spec,
                 const std::vector<MemberPlacement> &Members) const;
  /// Charges a gang that was placed. False, and nothing changes, if its
  /// workspace's unused guarantee does not hold it there or another unused
  /// guarantee could then not be carved; it then is a loan.
  bool charge(const JobSpec &Spec, const std::vector<MemberPlacement> &Members);
  /// Gives back what the gang was charged; nothing happens if it was not.
  void discharge(JobId Job);
  bool isCharged(JobId Job) const { return Charges.contains(Job); }

  /// The invariant. It can be lost only by a change of the configuration or
  /// of the workers.
  bool canPackAll() const;

  /// Accelerators that the workspace is guaranteed here, and uses thereof.
  std::int32_t guaranteedAccelerators(const WorkspaceId &Workspace) const;
  std::int32_t usedAccelerators(const WorkspaceId &Workspace) const;

  /// All guaranteed shapes, in carve order; indexes of other calls refer here.
  const std::vector<CellShape> &shapes() const { return Shapes; }
  /// Unbound cells of each shape, of all workspaces and of one.
  const std::vector<std::int32_t> &unboundCells() const { return Unbound; }
  std::vector<std::int32_t> unboundCellsOf(const WorkspaceId &Workspace) const;
  /// The bound cells of one workspace.
  std::vector<BoundCellId> boundCellIds(const WorkspaceId &Workspace) const;
  const BoundCell &boundCell(BoundCellId Id) const { return BoundCells[Id]; }

private:
  friend class TentativeCharge;

  struct Account {
    /// Cells of each shape: guaranteed, and bound.
    std::vector<std::int32_t> Guaranteed;
    std::vector<std::int32_t> Bound;
    std::vector<BoundCellId> BoundIds;
    std::int32_t Used = 0;
  };
  struct Charge {
    WorkspaceId Workspace;
    std::vector<CellUse> Uses;
    std::int32_t Accelerators = 0;
  };

  std::size_t shapeIndex(const CellShape &Shape) const;
  void updateCellCounts();
  BoundCellId addBound(BoundCell Cell);
  void removeBound(BoundCellId Id);
  void commit(const JobSpec &Spec, TentativeCharge &Draft);

  CellTree &Cells;
  std::vector<CellShape> Shapes;
  std::vector<std::int32_t> Unbound;
  std::map<WorkspaceId, Account> Accounts;
  std::vector<BoundCell> BoundCells;
  std::vector<BoundCellId> VacantIds;
  std::unordered_map<JobId, Charge> Charges;
};

} // namespace banyanworks

#endif
