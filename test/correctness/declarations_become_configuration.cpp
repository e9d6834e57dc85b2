/// \file
/// Tests that declaration files are read into the configuration they declare.
#include "model/ConfigurationDiff.h"
#include "model/Declarations.h"
#include "support/Samples.h"

#include <criterion/criterion.h>

using namespace banyanworks;

Test(declarations, files_become_one_configuration) {
  auto Result = readDeclarations({operatorsFile(), serviceFile()});
  for (const Diagnostic &Error : Result.Diagnostics)
    cr_log_error("%s", Error.str().c_str());
  cr_assert(Result.Diagnostics.empty());
  const Configuration &Config = Result.Config;
  const FailureDomain &Domain = Config.Domains.at(DomainId("b"));
  cr_assert(Domain.Drain == DrainPolicy::Stop);
  cr_assert(Domain.DrainDeadline == std::chrono::seconds(90));
  const Workspace &Space = Config.Workspaces.at(WorkspaceId("shops"));
  cr_assert_eq(Space.Guarantee.size(), 1);
  cr_assert_eq(Space.Guarantee[0].Accelerators, 4);
  cr_assert_eq(Space.Quota.MilliCores, 64000);
  const Service &Planner = Config.Services.at(ServiceId("planner"));
  cr_assert_eq(Planner.Endpoints.size(), 3);
  cr_assert_eq(Planner.Endpoints.begin()->second.Slots, 6);
  const Method &Total = Planner.Methods.at(MethodId("total"));
  cr_assert_not(Total.Repeatable);
  cr_assert(Total.Deadline == std::chrono::milliseconds(1500));
  const JobKind &Rank = Planner.JobKinds.at(JobKindId("rank"));
  cr_assert(Rank.PerMember == (Resources{2500, 16384, 4}));
  cr_assert(Rank.Urgency == Priority::Urgent);
}

Test(declarations, file_order_does_not_matter) {
  auto Forward = readDeclarations({operatorsFile(), serviceFile()});
  auto Backward = readDeclarations({serviceFile(), operatorsFile()});
  cr_assert(Forward.Config == Backward.Config);
}

Test(declarations, publishing_files_keeps_a_domain_out_of_service) {
  auto Current = readDeclarations({operatorsFile(), serviceFile()}).Config;
  auto Next = Current;
  Current.Domains[DomainId("a")].InService = false;
  Current.Services[ServiceId("planner")].Endpoints.begin()->second.Draining =
      true;
  keepOperatorState(Current, Next);
  cr_assert_not(Next.Domains[DomainId("a")].InService);
  cr_assert(Next == Current);
}

Test(declarations, difference_names_what_changed) {
  auto Before = readDeclarations({operatorsFile(), serviceFile()}).Config;
  auto After = Before;
  After.Domains[DomainId("b")].InService = false;
  After.Services[ServiceId("planner")].Methods.clear();
  std::vector<std::string> Expected = {"~ domain b: in -> out",
                                       "- service planner method total"};
  cr_assert(configurationDiff(Before, After) == Expected);
  cr_assert(configurationDiff(Before, Before).empty());
}
