/// \file
/// Defines GuaranteeLedger, which accounts for the guaranteed cells of each
/// workspace in one failure domain and their use by running gangs.
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
  /// The worker's WorkerCell::Serial; with any other serial the part is
  /// invalid.
  std::uint64_t Serial = 0;
  AcceleratorMask Accelerators = 0;
  AcceleratorMask Used = 0;
};

/// A guaranteed cell that is bound to accelerators because a gang uses part of
/// it. The whole cell stays bound until its last gang is discharged.
struct BoundCell {
  WorkspaceId Workspace;
  CellShape Shape;
  std::vector<BoundPart> Parts;

  bool unused() const;
};

using BoundCellId = std::uint32_t;

/// The part of a bound cell that one member of a charged gang uses.
struct CellUse {
  BoundCellId Cell = 0;
  std::uint32_t Part = 0;
  AcceleratorMask Accelerators = 0;
};

/// The guarantees of one failure domain. A gang is charged as a whole when it
/// is placed under its workspace's guarantee and discharged as a whole at its
/// end; gangs that are not charged run on borrowed capacity. Invariant: all
/// unbound cells of all workspaces can be packed together onto unbound
/// accelerators. These are free or used by borrowing gangs, which can be
/// reclaimed.
class GuaranteeLedger {
public:
  /// Keeps a reference to the tree, which must outlive the ledger.
  explicit GuaranteeLedger(CellTree &Cells) : Cells(Cells) {}
  GuaranteeLedger(const GuaranteeLedger &) = delete;
  GuaranteeLedger &operator=(const GuaranteeLedger &) = delete;

  /// Sets the guaranteed cells of \p Domain from a configuration. Charged gangs
  /// stay charged, so a workspace with a reduced guarantee may exceed it.
  void configure(const Configuration &Config, const DomainId &Domain);

  /// Returns true if the gang fits in its workspace's unused guarantee,
  /// independent of location. Required adjacency is covered within one cell, or
  /// within cells bound to one worker or rack.
  bool coversGang(const JobSpec &Spec) const;
  /// Returns true if charge() would succeed.
  bool canCharge(const JobSpec &Spec,
                 const std::vector<MemberPlacement> &Members) const;
  /// Charges a gang that was placed. Returns false without any change if its
  /// workspace's unused guarantee does not cover these placements, or if the
  /// other unused guarantees could then no longer be packed; the gang then runs
  /// on borrowed capacity.
  bool charge(const JobSpec &Spec, const std::vector<MemberPlacement> &Members);
  /// Releases the charge of the gang, if any.
  void discharge(JobId Job);
  bool isCharged(JobId Job) const { return Charges.contains(Job); }

  /// Returns true if the class invariant holds. Only a change of the
  /// configuration or of the workers can break it.
  bool canPackAll() const;

  /// Number of accelerators that the workspace is guaranteed in this domain,
  /// and number of these in use.
  std::int32_t guaranteedAccelerators(const WorkspaceId &Workspace) const;
  std::int32_t usedAccelerators(const WorkspaceId &Workspace) const;

  /// All guaranteed shapes, in packing order. Shape indexes of other members
  /// refer to this list.
  const std::vector<CellShape> &shapes() const { return Shapes; }
  /// Number of unbound cells of each shape, over all workspaces and of one.
  const std::vector<std::int32_t> &unboundCells() const { return Unbound; }
  std::vector<std::int32_t> unboundCellsOf(const WorkspaceId &Workspace) const;
  /// Ids of the bound cells of one workspace.
  std::vector<BoundCellId> boundCellIds(const WorkspaceId &Workspace) const;
  const BoundCell &boundCell(BoundCellId Id) const { return BoundCells[Id]; }

private:
  friend class TentativeCharge;

  struct Account {
    /// Number of guaranteed and of bound cells of each shape.
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
