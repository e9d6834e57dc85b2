/// \file
/// Fuzzes the reader of declaration files. It must not crash, and the JSON
/// codec must preserve each configuration that is read without errors.
#include "base/Check.h"
#include "model/ConfigurationJson.h"
#include "model/Declarations.h"

#include <cstddef>
#include <cstdint>

using namespace banyanworks;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  DeclarationResult Result = readDeclarations({{"banyanworks.toml", Text}});
  if (!Result.Diagnostics.empty())
    return 0;
  auto Decoded = configurationFromJson(configurationToJson(Result.Config));
  BANYANWORKS_CHECK(Decoded.has_value() && *Decoded == Result.Config,
                    "the JSON codec must preserve a configuration");
  return 0;
}
