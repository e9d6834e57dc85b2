/// \file
/// Defines DecisionLog, the interface of the structured log in which the
/// components of a daemon record decisions and state changes.
#ifndef BANYANWORKS_BASE_DECISIONLOG_H
#define BANYANWORKS_BASE_DECISIONLOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace banyanworks {

/// One key=value field of a log line.
struct LogValue {
  std::string_view Name;
  std::string Text;

  LogValue(std::string_view Name, std::string Text)
      : Name(Name), Text(std::move(Text)) {}
  LogValue(std::string_view Name, std::string_view Text)
      : Name(Name), Text(Text) {}
  LogValue(std::string_view Name, const char *Text) : Name(Name), Text(Text) {}
  LogValue(std::string_view Name, std::integral auto Number)
      : Name(Name), Text(std::to_string(Number)) {}
};

/// The importance of a line; decides which lines are dropped when lines
/// have to be dropped.
enum class LogLevel : std::uint8_t {
  /// An ordinary step of a request or a task.
  Routine,
  /// A refusal, a failure or a retry.
  Notice,
  /// A change of the process's state: ownership, configuration or the
  /// availability of dependencies.
  Change,
};

/// Receives the log lines of a daemon.
class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  /// Writes one line without blocking. \p Event names the kind of decision.
  virtual void write(LogLevel Level, std::string_view Event,
                     std::initializer_list<LogValue> Fields) = 0;
};

} // namespace banyanworks

#endif
