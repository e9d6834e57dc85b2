/// \file
/// Implements the text forms of job ids, task keys and statuses.
#include "pool/JobName.h"

#include <array>
#include <charconv>

namespace banyanworks::pool {

namespace {

constexpr std::size_t NameLength = 16;
constexpr std::array<std::string_view, 5> StatusNames = {
    "queued", "running", "completed", "failed", "cancelled"};

/// Parses a number up to the next dot and removes both from \p Text.
template <typename Number>
bool consumeNumber(std::string_view &Text, Number &Value) {
  std::size_t Dot = std::min(Text.find('.'), Text.size());
  const char *End = Text.data() + Dot;
  auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return false;
  Text.remove_prefix(std::min(Dot + 1, Text.size()));
  return true;
}

} // namespace

std::string jobName(JobId Id) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(NameLength, '0');
  std::uint64_t Value = Id.value();
  for (std::size_t Position = NameLength; Position-- > 0; Value >>= 4)
    Text[Position] = Digits[Value & 0xF];
  return Text;
}

std::optional<JobId> parseJobName(std::string_view Text) {
  if (Text.size() != NameLength)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return JobId(Value);
}

std::string taskName(const TaskKey &Task) {
  return jobName(Task.Job) + '.' + std::to_string(Task.Occurrence) + '.' +
         std::to_string(Task.Step) + '.' + std::to_string(Task.Index);
}

std::optional<TaskKey> parseTaskName(std::string_view Text) {
  auto Job = parseJobName(Text.substr(0, NameLength));
  if (!Job || Text.size() <= NameLength || Text[NameLength] != '.')
    return std::nullopt;
  Text.remove_prefix(NameLength + 1);
  TaskKey Task;
  Task.Job = *Job;
  if (!consumeNumber(Text, Task.Occurrence) ||
      !consumeNumber(Text, Task.Step) || !consumeNumber(Text, Task.Index) ||
      !Text.empty())
    return std::nullopt;
  return Task;
}

std::string_view jobStatusName(JobStatus Status) {
  return StatusNames.at(static_cast<std::size_t>(Status));
}

std::optional<JobStatus> parseJobStatus(std::string_view Text) {
  for (std::size_t Position = 0; Position < StatusNames.size(); ++Position)
    if (StatusNames.at(Position) == Text)
      return static_cast<JobStatus>(Position);
  return std::nullopt;
}

} // namespace banyanworks::pool
