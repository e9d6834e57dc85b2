/// \file
/// Tests that malformed JSON is rejected with an error.
#include "model/ConfigurationJson.h"
#include "model/JobJson.h"

#include "base/Reason.h"

#include <criterion/criterion.h>

using namespace banyanworks;

Test(model_json_error, malformed_configuration_is_refused) {
  for (const char *Text : {"", "{", "[]", "{\"version\":\"x\"}", "null",
                           "{\"version\":\"1\",\"author\":3}"}) {
    auto Decoded = configurationFromJson(Text);
    cr_assert_not(Decoded.has_value());
    cr_assert(Decoded.error().Code == Reason::InvalidArgument);
  }
}

Test(model_json_error, unknown_enumeration_is_refused) {
  std::string Text = jobToJson(JobSpec());
  Text.replace(Text.find("\"normal\""), 8, "\"asap\"");
  auto Decoded = jobFromJson(Text);
  cr_assert_not(Decoded.has_value());
  cr_assert(Decoded.error().Message.find("asap") != std::string::npos);
}
