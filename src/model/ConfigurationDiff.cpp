/// \file
/// Implements the difference between two configurations.
#include "model/ConfigurationDiff.h"

#include "model/Configuration.h"

namespace banyanworks {

namespace {

using Lines = std::vector<std::string>;

/// Compares two maps by key. Adds a line for each added or removed item, and
/// calls \p OnChanged for each item that is in both maps with different values.
template <typename Map, typename Function>
void compare(const Map &Before, const Map &After, const std::string &Label,
             Lines &Out, Function OnChanged) {
  for (const auto &[Id, Item] : Before)
    if (After.count(Id) == 0)
      Out.push_back("- " + Label + " " + Id.str());
  for (const auto &[Id, Item] : After) {
    auto Old = Before.find(Id);
    if (Old == Before.end()) {
      Out.push_back("+ " + Label + " " + Id.str());
      continue;
    }
    if (!(Old->second == Item))
      OnChanged(Old->second, Item, Label + " " + Id.str());
  }
}

void compareServices(const Service &Before, const Service &After,
                     const std::string &Label, Lines &Out) {
  auto AddChanged = [&](const auto &, const auto &,
                        const std::string &ChangedLabel) {
    Out.push_back("~ " + ChangedLabel);
  };
  if (Before.Workspace != After.Workspace)
    Out.push_back("~ " + Label + " workspace: " + Before.Workspace.str() +
                  " -> " + After.Workspace.str());
  compare(Before.Methods, After.Methods, Label + " method", Out, AddChanged);
  compare(Before.JobKinds, After.JobKinds, Label + " job", Out, AddChanged);
  compare(Before.Endpoints, After.Endpoints, Label + " endpoint", Out,
          AddChanged);
}

void compareDomains(const FailureDomain &Before, const FailureDomain &After,
                    const std::string &Label, Lines &Out) {
  if (Before.InService != After.InService) {
    Out.push_back("~ " + Label +
                  (After.InService ? ": out -> in" : ": in -> out"));
  } else {
    Out.push_back("~ " + Label);
  }
}

} // namespace

std::vector<std::string> configurationDiff(const Configuration &Before,
                                           const Configuration &After) {
  Lines Out;
  auto Domains = [&](const FailureDomain &Old, const FailureDomain &New,
                     const std::string &Label) {
    compareDomains(Old, New, Label, Out);
  };
  auto Workspaces = [&](const Workspace &Old, const Workspace &New,
                        const std::string &Label) {
    Out.push_back("~ " + Label +
                  (Old.Guarantee == New.Guarantee ? "" : ": guarantee"));
  };
  auto Services = [&](const Service &Old, const Service &New,
                      const std::string &Label) {
    compareServices(Old, New, Label, Out);
  };
  compare(Before.Domains, After.Domains, "domain", Out, Domains);
  compare(Before.Workspaces, After.Workspaces, "workspace", Out, Workspaces);
  compare(Before.Services, After.Services, "service", Out, Services);
  return Out;
}

} // namespace banyanworks
