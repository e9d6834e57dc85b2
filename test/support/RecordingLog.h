/// \file
/// Defines RecordingLog, a DecisionLog that stores its lines.
#ifndef BANYANWORKS_TEST_SUPPORT_RECORDINGLOG_H
#define BANYANWORKS_TEST_SUPPORT_RECORDINGLOG_H

#include "base/DecisionLog.h"
#include "support/VirtualClock.h"

#include <algorithm>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Formats lines as "seconds event name=value ...".
class RecordingLog : public DecisionLog {
public:
  explicit RecordingLog(const VirtualClock &Clock) : Clock(Clock) {}

  void write(LogLevel, std::string_view Event,
             std::initializer_list<LogValue> Fields) override {
    std::string Line = std::to_string(toSeconds(Clock.now() - TimePoint()));
    Line += ' ';
    Line += Event;
    for (const LogValue &Field : Fields) {
      Line += ' ';
      Line += Field.Name;
      Line += '=';
      Line += Field.Text;
    }
    Lines.push_back(std::move(Line));
  }

  const std::vector<std::string> &lines() const { return Lines; }
  /// Returns the number of lines that contain \p Text.
  std::size_t count(const std::string &Text) const {
    return static_cast<std::size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const std::string &Line) {
          return Line.find(Text) != std::string::npos;
        }));
  }

private:
  const VirtualClock &Clock;
  std::vector<std::string> Lines;
};

} // namespace banyanworks::testing

#endif
