/// \file
/// Whether a guarantee covers a gang depends on the shapes of its cells and on
/// the cores per accelerator, not only on the number of accelerators.
#include "support/Clusters.h"

#include "jobs/GuaranteeLedger.h"
#include "kernel/Registry.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

struct GuaranteedCluster {
  CellTree Cells;
  GuaranteeLedger Ledger{Cells};

  explicit GuaranteedCluster(const GuaranteedCell &Cell) {
    addRacks(Cells, 2, 2, 8);
    Configuration Config;
    Config.Workspaces[WorkspaceId("p")].Guarantee = {Cell};
    Ledger.configure(Config, DomainId("d"));
  }

  bool covers(std::uint32_t Members, std::int32_t Accelerators,
              Adjacency MemberAdjacency = Adjacency::None) const {
    auto Spec = makeJob(1, "p", Members, Accelerators);
    Spec->MemberAdjacency = MemberAdjacency;
    Spec->AdjacencyRequired = true;
    return Ledger.coversGang(*Spec);
  }
};

} // namespace

Test(cover, groups_hold_members_up_to_their_size) {
  GuaranteedCluster Case(makeCell(CellLevel::Group, 2, 4));
  cr_assert(Case.covers(4, 2));
  cr_assert(Case.covers(8, 1));
  cr_assert_not(Case.covers(9, 1));
  cr_assert_not(Case.covers(1, 4));
}

Test(cover, adjacency_is_covered_within_one_cell) {
  GuaranteedCluster Groups(makeCell(CellLevel::Group, 4, 2));
  cr_assert(Groups.covers(4, 1, Adjacency::SameWorker));
  cr_assert_not(Groups.covers(8, 1, Adjacency::SameWorker));
  GuaranteedCluster Rack(makeCell(CellLevel::Rack, 2, 1));
  cr_assert(Rack.covers(16, 1, Adjacency::SameRack));
  cr_assert(Rack.covers(8, 1, Adjacency::SameWorker));
  cr_assert_not(Rack.covers(16, 1, Adjacency::SameWorker));
}

Test(cover, cores_beyond_the_share_need_a_larger_group) {
  GuaranteedCluster Case(makeCell(CellLevel::Group, 2, 1));
  auto Spec = makeJob(1, "p", 1, 1);
  Spec->PerMember.MilliCores = ShareOfAccelerator.MilliCores * 2;
  cr_assert(Case.Ledger.coversGang(*Spec));
  Spec->Members = 2;
  cr_assert_not(Case.Ledger.coversGang(*Spec));
}

Test(cover, use_reduces_coverage_until_the_gang_is_discharged) {
  GuaranteedCluster Case(makeCell(CellLevel::Worker, 1, 1));
  auto Spec = makeJob(2, "p", 1, 4);
  cr_assert(Case.Ledger.charge(*Spec, {{WorkerId("r0w0"), 0xF}}));
  cr_assert_eq(Case.Ledger.usedAccelerators(WorkspaceId("p")), 4);
  cr_assert(Case.covers(1, 4));
  cr_assert_not(Case.covers(2, 4));
  cr_assert_not(Case.covers(1, 8));
  // The rest of the cell stays bound on the gang's worker.
  auto Other = makeJob(3, "p", 1, 4);
  cr_assert_not(Case.Ledger.canCharge(*Other, {{WorkerId("r0w1"), 0xF}}));
  cr_assert(Case.Ledger.canCharge(*Other, {{WorkerId("r0w0"), 0xF0}}));
  Case.Ledger.discharge(Spec->Id);
  cr_assert(Case.covers(1, 8));
}

Test(cover, excludes_other_workspaces_and_cpu_only_tasks) {
  GuaranteedCluster Case(makeCell(CellLevel::Worker, 1, 1));
  cr_assert_not(Case.covers(1, 0));
  cr_assert_not(Case.Ledger.coversGang(*makeJob(1, "q", 1, 1)));
}

Test(cover, smaller_configuration_leaves_running_gangs_charged) {
  GuaranteedCluster Case(makeCell(CellLevel::Worker, 1, 1));
  auto Spec = makeJob(2, "p", 1, 8);
  cr_assert(Case.Ledger.charge(*Spec, {{WorkerId("r0w0"), 0xFF}}));
  Configuration Less;
  Less.Workspaces[WorkspaceId("p")].Guarantee = {
      makeCell(CellLevel::Group, 1, 1)};
  Case.Ledger.configure(Less, DomainId("d"));
  cr_assert(Case.Ledger.isCharged(Spec->Id));
  cr_assert(Case.Ledger.canPackAll());
  Case.Ledger.discharge(Spec->Id);
  cr_assert(Case.covers(1, 1));
  cr_assert_not(Case.covers(1, 8));
}
