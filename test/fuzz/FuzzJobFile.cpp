/// \file
/// Fuzzes the reader of job files: an accepted file must give a request that
/// the callers' API carries.
#include "base/Check.h"
#include "model/JobFile.h"

#include <cstddef>
#include <cstdint>

using namespace banyanworks;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  std::vector<Diagnostic> Diagnostics;
  auto Request = readJobFile(Text, "job.toml", Diagnostics);
  BANYANWORKS_CHECK(Request.has_value() == Diagnostics.empty(),
                    "a faulty job file was accepted, or the reverse");
  if (!Request)
    return 0;
  auto Decoded = jobRequestFromJson(jobRequestToJson(*Request));
  BANYANWORKS_CHECK(Decoded.has_value(), "the API cannot carry a request");
  return 0;
}
