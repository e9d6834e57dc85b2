/// \file
/// Each fault of a declaration file is reported with its place, all at once.
#include "model/Declarations.h"
#include "support/Samples.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

/// The faults of the sample files after one replacement in the service file.
std::vector<Diagnostic> faultsAfter(const std::string &From,
                                    const std::string &To) {
  SourceFile File = serviceFile();
  std::size_t Place = File.Text.find(From);
  cr_assert_neq(Place, std::string::npos);
  File.Text.replace(Place, From.size(), To);
  return readDeclarations({operatorsFile(), File}).Diagnostics;
}

} // namespace

Test(declarations_error, wrong_value_has_line_and_column) {
  auto Faults = faultsAfter("\"16GiB\"", "\"16 gigs\"");
  cr_assert_eq(Faults.size(), 1);
  cr_assert_eq(Faults[0].Location.Line, 10);
  cr_assert_eq(Faults[0].Location.Column, 10);
  cr_assert(Faults[0].str().find("use a number with B") != std::string::npos);
}

Test(declarations_error, unknown_key_lists_the_known) {
  auto Faults = faultsAfter("cores =", "core =");
  cr_assert_eq(Faults.size(), 1);
  cr_assert(Faults[0].Message == "unknown key 'core'");
  cr_assert(Faults[0].Hint.find("cores") != std::string::npos);
}

Test(declarations_error, unknown_choice_lists_the_choices) {
  auto Faults = faultsAfter("\"urgent\"", "\"now\"");
  cr_assert_eq(Faults.size(), 1);
  cr_assert(Faults[0].Hint == "use batch, normal or urgent");
}

Test(declarations_error, syntax_fault_is_reported) {
  cr_assert_eq(faultsAfter("[service]", "[service").size(), 1);
}

Test(declarations_error, unknown_workspace_is_reported) {
  auto Faults = faultsAfter("\"shops\"", "\"stores\"");
  cr_assert_eq(Faults.size(), 1);
  cr_assert(Faults[0].Hint == "declared are: shops");
}

Test(declarations_error, service_declared_twice) {
  SourceFile Copy = serviceFile();
  Copy.Path = "copy/banyanworks.toml";
  auto Faults =
      readDeclarations({operatorsFile(), serviceFile(), Copy}).Diagnostics;
  cr_assert_eq(Faults.size(), 1);
  cr_assert(Faults[0].Location.File == Copy.Path);
}

Test(declarations_error, several_faults_are_reported_at_once) {
  SourceFile File = serviceFile();
  File.Text += "[method.m]\ndeadline = \"soon\"\nrate_limit = -1\n";
  cr_assert_eq(readDeclarations({operatorsFile(), File}).Diagnostics.size(), 2);
}
