/// \file
/// Fuzzes the JSON codecs of configurations, jobs and job requests. Each
/// accepted input must be decoded again from its encoding; for configurations
/// and jobs, to an equal value.
#include "base/Check.h"
#include "model/ConfigurationJson.h"
#include "model/JobFile.h"
#include "model/JobJson.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace banyanworks;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  if (auto Config = configurationFromJson(Text)) {
    auto Again = configurationFromJson(configurationToJson(*Config));
    BANYANWORKS_CHECK(Again && *Again == *Config,
                      "the JSON codec must preserve a configuration");
  }
  if (auto Spec = jobFromJson(Text)) {
    auto Again = jobFromJson(jobToJson(*Spec));
    BANYANWORKS_CHECK(Again && *Again == *Spec,
                      "the JSON codec must preserve a job");
  }
  if (auto Request = jobRequestFromJson(Text)) {
    auto Again = jobRequestFromJson(jobRequestToJson(*Request));
    BANYANWORKS_CHECK(Again.has_value(),
                      "the JSON codec must decode an encoded request");
  }
  return 0;
}
