/// \file
/// Tests that non-ASCII characters are accepted in comments and rejected with
/// their location elsewhere. The TOML library's behaviour for some of them is
/// undefined.
#include "model/JobFile.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

std::vector<Diagnostic> diagnosticsOf(const std::string &Text) {
  std::vector<Diagnostic> Diagnostics;
  readJobFile(Text, "job.toml", Diagnostics);
  return Diagnostics;
}

} // namespace

Test(declarations_ascii, comments_may_contain_any_text) {
  cr_assert(diagnosticsOf("service = \"planner\" # \xEA\xB0\x80 '\n"
                          "kind = \"rank\"\n")
                .empty());
}

Test(declarations_ascii, unquoted_letters_are_refused_with_their_location) {
  auto Diagnostics =
      diagnosticsOf("service = \"planner\"\n\xC3\xA4kind = \"rank\"\n");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert_eq(Diagnostics[0].Location.Line, 2);
  cr_assert_eq(Diagnostics[0].Location.Column, 1);
}

Test(declarations_ascii, quoted_hash_does_not_start_a_comment) {
  auto Diagnostics =
      diagnosticsOf("service = \"planner\"\nkind = \"#\xC3\xA4\"\n");
  cr_assert_eq(Diagnostics.size(), 1);
  cr_assert_eq(Diagnostics[0].Location.Column, 10);
}

Test(declarations_ascii, key_with_a_line_break_is_refused) {
  auto Diagnostics = diagnosticsOf("service = \"planner\"\nkind = \"rank\"\n"
                                   "key = \"\"\"a\n#\xC3\xA4\"\"\"\n");
  cr_assert_eq(Diagnostics.size(), 1);
}
