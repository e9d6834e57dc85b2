/// \file
/// The victims of a reclaim are whole gangs on lent capacity, as few and with
/// as little work at risk as will do.
#include "support/Clusters.h"

#include "jobs/GuaranteeLedger.h"
#include "kernel/Registry.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

using namespace std::chrono_literals;

/// Two workers of four accelerators; workspace "p" is guaranteed one of them.
struct Lent {
  CellTree Cells;
  GuaranteeLedger Ledger{Cells};
  std::vector<RunningGang> Running;
  TimePoint Now = TimePoint(1h);

  Lent() {
    addRacks(Cells, 1, 2, 4);
    Configuration Config;
    Workspace &Own = Config.Workspaces[WorkspaceId("p")];
    Own.Guarantee = {makeCell(CellLevel::Worker, 1, 1)};
    Ledger.configure(Config, DomainId("d"));
  }

  RunningGang &startBorrowing(std::uint64_t Job,
                              std::vector<MemberPlacement> Members,
                              std::int32_t Accelerators, Duration AtRisk) {
    RunningGang Gang;
    Gang.Spec = makeJob(Job, "q", static_cast<std::uint32_t>(Members.size()),
                        Accelerators);
    Gang.AtRisk = AtRisk;
    Gang.Members = std::move(Members);
    cr_assert(allocateGang(Cells, *Gang.Spec, Gang.Members));
    Running.push_back(Gang);
    return Running.back();
  }

  VictimPlan reclaim(std::uint32_t Members, std::int32_t Accelerators) {
    auto Choose = Registry<VictimPolicy>::instance().make("least-loss");
    auto Spec = makeJob(99, "p", Members, Accelerators);
    return (*Choose)(Cells, Ledger, {Spec, true, {}}, Running, Now);
  }
};

const WorkerId First("r0w0");
const WorkerId Second("r0w1");

} // namespace

Test(victims, least_work_at_risk_goes) {
  Lent Case;
  Case.startBorrowing(1, {{First, 0b1111}}, 4, 10min);
  Case.startBorrowing(2, {{Second, 0b1111}}, 4, 1min);
  VictimPlan Plan = Case.reclaim(1, 4);
  cr_assert(Plan.Placement.placed());
  cr_assert_eq(Plan.Victims.size(), 1);
  cr_assert(Plan.Victims[0] == JobId(2));
}

Test(victims, one_gang_goes_rather_than_four) {
  Lent Case;
  for (std::uint64_t Job = 1; Job <= 4; ++Job)
    Case.startBorrowing(Job, {{First, AcceleratorMask(1) << (Job - 1)}}, 1,
                        1min);
  Case.startBorrowing(5, {{Second, 0b1111}}, 4, 1min);
  VictimPlan Plan = Case.reclaim(1, 4);
  cr_assert_eq(Plan.Victims.size(), 1);
  cr_assert(Plan.Victims[0] == JobId(5));
}

Test(victims, gang_moved_lately_is_spared) {
  Lent Case;
  Case.startBorrowing(1, {{First, 0b1111}}, 4, 10min);
  Case.startBorrowing(2, {{Second, 0b1111}}, 4, 1min).LastMoved =
      Case.Now - 1min;
  VictimPlan Plan = Case.reclaim(1, 4);
  cr_assert_eq(Plan.Victims.size(), 1);
  cr_assert(Plan.Victims[0] == JobId(1));
}

Test(victims, gang_across_workers_counts_once) {
  Lent Case;
  Case.startBorrowing(1, {{First, 0b11}, {Second, 0b11}}, 2, 1min);
  Case.startBorrowing(2, {{First, 0b1100}}, 2, 1min);
  Case.startBorrowing(3, {{Second, 0b1100}}, 2, 2min);
  VictimPlan Plan = Case.reclaim(4, 1);
  cr_assert(Plan.Placement.placed());
  std::ranges::sort(Plan.Victims);
  cr_assert_eq(Plan.Victims.size(), 2);
  cr_assert(Plan.Victims[0] == JobId(1) && Plan.Victims[1] == JobId(2));
}

Test(victims, tasks_without_accelerators_go_where_cores_are_needed) {
  Lent Case;
  Case.startBorrowing(1, {{First, 0}}, 0, 1min);
  RunningGang Hog;
  Hog.Spec = makeJob(2, "q", 1, 0);
  auto Large = std::make_shared<JobSpec>(*Hog.Spec);
  Large->PerMember = {15000, 1024, 0};
  Hog.Spec = Large;
  Hog.Members = {{First, 0}};
  cr_assert(allocateGang(Case.Cells, *Hog.Spec, Hog.Members));
  Case.Running.push_back(Hog);
  Case.startBorrowing(3, {{Second, 0b1111}}, 4, 60min);
  VictimPlan Plan = Case.reclaim(1, 4);
  cr_assert(Plan.Placement.placed());
  cr_assert_eq(Plan.Victims.size(), 1);
  cr_assert(Plan.Victims[0] == JobId(2));
}

Test(victims, nothing_goes_for_a_gang_beyond_the_guarantee) {
  Lent Case;
  Case.startBorrowing(1, {{First, 0b1111}}, 4, 1min);
  VictimPlan Plan = Case.reclaim(2, 4);
  cr_assert_not(Plan.Placement.placed());
  cr_assert(Plan.Victims.empty());
  cr_assert_eq(Plan.Placement.FailureReason, Reason::WaitsForGuarantee);
}
