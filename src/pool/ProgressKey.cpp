/// \file
/// Implements the store keys of the parts of a job's progress.
#include "pool/ProgressKey.h"

#include "pool/JobName.h"
#include "pool/StoreKeys.h"

#include <charconv>

namespace banyanworks::pool {

std::string progressKey(const ProgressPart &Part) {
  std::string Key = std::string(ProgressPrefix) + jobName(Part.Job);
  if (Part.Part > 0)
    Key.append("/").append(std::to_string(Part.Part));
  return Key;
}

std::optional<ProgressPart> parseProgressKey(std::string_view Key) {
  if (!Key.starts_with(ProgressPrefix))
    return std::nullopt;
  Key.remove_prefix(ProgressPrefix.size());
  std::size_t Slash = Key.find('/');
  auto Job = parseJobName(Key.substr(0, Slash));
  if (!Job)
    return std::nullopt;
  ProgressPart Result{*Job, 0};
  if (Slash == std::string_view::npos)
    return Result;
  std::string_view Number = Key.substr(Slash + 1);
  const char *End = Number.data() + Number.size();
  auto Parsed = std::from_chars(Number.data(), End, Result.Part);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Result.Part == 0)
    return std::nullopt;
  return Result;
}

} // namespace banyanworks::pool
