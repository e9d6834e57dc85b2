/// \file
/// assignGuarantees assigns each guaranteed cell to a failure domain, rejects
/// guarantees that do not fit and keeps the cells of a domain that is out.
#include "support/Clusters.h"

#include "jobs/GuaranteeAssignment.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::test;

namespace {

/// Two failure domains of two workers with four accelerators each.
std::vector<WorkerInfo> workers() {
  std::vector<WorkerInfo> Result;
  for (const char *Domain : {"d", "e"}) {
    for (const char *Number : {"1", "2"}) {
      Result.push_back(makeWorker(std::string(Domain) + Number, 0, 4));
      Result.back().Domain = DomainId(Domain);
    }
  }
  return Result;
}

Configuration configuration(std::vector<GuaranteedCell> Guarantee) {
  Configuration Config;
  for (const char *Domain : {"d", "e"})
    Config.Domains[DomainId(Domain)].Id = DomainId(Domain);
  Workspace &Own = Config.Workspaces[WorkspaceId("p")];
  Own.Id = WorkspaceId("p");
  for (GuaranteedCell &Cell : Guarantee)
    Cell.Domain = DomainId();
  Own.Guarantee = std::move(Guarantee);
  return Config;
}

std::int32_t countIn(const Configuration &Config, const char *Domain) {
  std::int32_t Result = 0;
  for (const auto &Cell : Config.Workspaces.at(WorkspaceId("p")).Guarantee)
    if (Cell.Domain == DomainId(Domain))
      Result += Cell.Count;
  return Result;
}

} // namespace

Test(guarantee_plan, spreads_cells_over_domains) {
  auto Planned = assignGuarantees(
      configuration({makeCell(CellLevel::Worker, 1, 3)}), workers());
  cr_assert(Planned.has_value());
  cr_assert_eq(countIn(*Planned, "d") + countIn(*Planned, "e"), 3);
  cr_assert_leq(countIn(*Planned, "d"), 2);
  cr_assert_leq(countIn(*Planned, "e"), 2);
}

Test(guarantee_plan, refuses_what_does_not_fit_together) {
  auto Planned =
      assignGuarantees(configuration({makeCell(CellLevel::Worker, 1, 4),
                                      makeCell(CellLevel::Group, 1, 1)}),
                       workers());
  cr_assert_not(Planned.has_value());
  cr_assert(Planned.error().Code == Reason::GuaranteesDoNotFit);
}

Test(guarantee_plan, same_input_gives_same_plan) {
  Configuration Config = configuration({makeCell(CellLevel::Group, 2, 5)});
  auto Once = assignGuarantees(Config, workers());
  auto Again = assignGuarantees(Config, workers());
  cr_assert(Once.has_value());
  cr_assert(*Once == *Again);
  auto Replanned = assignGuarantees(*Once, workers());
  cr_assert(Replanned.has_value());
  cr_assert(*Replanned == *Once);
}

Test(guarantee_plan, cells_keep_their_former_domain) {
  Configuration Before = configuration({makeCell(CellLevel::Worker, 1, 1)});
  Before.Workspaces[WorkspaceId("p")].Guarantee[0].Domain = DomainId("e");
  auto Planned = assignGuarantees(
      configuration({makeCell(CellLevel::Worker, 1, 2)}), workers(), &Before);
  cr_assert(Planned.has_value());
  cr_assert_geq(countIn(*Planned, "e"), 1);
}

Test(guarantee_plan, domain_that_is_out_keeps_its_share) {
  Configuration Config = configuration({makeCell(CellLevel::Worker, 1, 4)});
  Config.Domains[DomainId("e")].InService = false;
  auto Planned = assignGuarantees(Config, workers());
  cr_assert(Planned.has_value());
  cr_assert_eq(countIn(*Planned, "e"), 2);
}

Test(guarantee_plan, refuses_cells_without_a_size) {
  auto Planned = assignGuarantees(
      configuration({makeCell(CellLevel::Group, 0, 1)}), workers());
  cr_assert_not(Planned.has_value());
  cr_assert(Planned.error().Code == Reason::InvalidArgument);
}
