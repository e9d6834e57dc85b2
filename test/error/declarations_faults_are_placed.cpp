/// \file
/// Tests that all errors of a declaration file are reported together, each with
/// its location.
#include "model/Declarations.h"
#include "support/Samples.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

/// Returns the diagnostics of the sample files after one replacement in the
/// service file.
std::vector<Diagnostic> diagnosticsAfter(const std::string &Pattern,
                                         const std::string &Replacement) {
  SourceFile File = serviceFile();
  std::size_t Position = File.Text.find(Pattern);
  cr_assert_neq(Position, std::string::npos);
  File.Text.replace(Position, Pattern.size(), Replacement);
  return readDeclarations({operatorsFile(), File}).Diagnostics;
}

} // namespace

Test(declarations_error, wrong_value_has_line_and_column) {
  auto Diagnostics = diagnosticsAfter("\"16GiB\"", "\"16 gigs\"");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert_eq(Diagnostics[0].Location.Line, 10);
  cr_assert_eq(Diagnostics[0].Location.Column, 10);
  cr_assert(Diagnostics[0].str().find("use a number with B") !=
            std::string::npos);
}

Test(declarations_error, unknown_key_lists_known_keys) {
  auto Diagnostics = diagnosticsAfter("cores =", "core =");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert(Diagnostics[0].Message == "unknown key 'core'");
  cr_assert(Diagnostics[0].Hint.find("cores") != std::string::npos);
}

Test(declarations_error, unknown_choice_lists_the_choices) {
  auto Diagnostics = diagnosticsAfter("\"urgent\"", "\"now\"");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert(Diagnostics[0].Hint == "use batch, normal or urgent");
}

Test(declarations_error, syntax_error_is_reported) {
  cr_assert_eq(diagnosticsAfter("[service]", "[service").size(), 1);
}

Test(declarations_error, unknown_workspace_is_reported) {
  auto Diagnostics = diagnosticsAfter("\"shops\"", "\"stores\"");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert(Diagnostics[0].Hint == "declared are: shops");
}

Test(declarations_error, service_declared_twice) {
  SourceFile Copy = serviceFile();
  Copy.Path = "copy/banyanworks.toml";
  auto Diagnostics =
      readDeclarations({operatorsFile(), serviceFile(), Copy}).Diagnostics;
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert(Diagnostics[0].Location.File == Copy.Path);
}

Test(declarations_error, several_errors_are_reported_at_once) {
  SourceFile File = serviceFile();
  File.Text += "[method.m]\ndeadline = \"soon\"\nrate_limit = -1\n";
  cr_assert_eq(readDeclarations({operatorsFile(), File}).Diagnostics.size(), 2);
}
