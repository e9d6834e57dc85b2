/// \file
/// Fuzzes the reader of job files. The JSON codec of the callers' API must be
/// able to encode and decode the request of each accepted file.
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
                    "a job file must be accepted exactly if it has no errors");
  if (!Request)
    return 0;
  auto Decoded = jobRequestFromJson(jobRequestToJson(*Request));
  BANYANWORKS_CHECK(Decoded.has_value(),
                    "the JSON codec must decode an encoded request");
  return 0;
}
