/// \file
/// Tests that each reason has a unique name and converts to an error code with
/// its description.
#include "base/Reason.h"

#include <set>

#include <criterion/criterion.h>

using namespace banyanworks;

Test(reasons, names_are_unique) {
  std::set<std::string_view> Names;
  for (const ReasonInfo &Info : allReasons())
    cr_assert(Names.insert(Info.Name).second);
  cr_assert_eq(Names.size(), static_cast<std::size_t>(Reason::Count));
}

Test(reasons, error_code_message_is_the_description) {
  std::error_code Code = Reason::QueueFull;
  cr_assert_eq(Code.message(), "The queue of the service is full.");
}
