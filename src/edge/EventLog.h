/// \file
/// Defines EventLog, which writes decisions as log lines to a file descriptor.
#ifndef BANYANWORKS_EDGE_EVENTLOG_H
#define BANYANWORKS_EDGE_EVENTLOG_H

#include "base/DecisionLog.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace banyanworks {

class EventLoop;

/// Limits on the volume of an EventLog.
struct LogBudget {
  /// Lines per second of the levels routine, notice and change. The owner of a
  /// thousand workers places, starts and ends about 300 tasks per second.
  std::array<std::uint32_t, 3> LinesPerSecond = {1200, 400, 200};
  /// Bytes buffered for a slow reader; lines beyond are dropped and counted.
  std::size_t MaxBufferedBytes = 256UL * 1024;
  /// Interval at which buffered lines are written.
  Duration FlushInterval = std::chrono::milliseconds(50);
  /// Lines below this level are not written.
  LogLevel MinLevel = LogLevel::Routine;
};

/// Never blocks: the output is made non-blocking. Lines beyond the budget or
/// the buffer are dropped, and a separate line reports their number.
class EventLog : public DecisionLog {
public:
  EventLog(EventLoop &Loop, int Descriptor, LogBudget Budget);

  void write(LogLevel Level, std::string_view Event,
             std::initializer_list<LogValue> Fields) override;
  /// Writes as much of the buffer as the output accepts.
  void flush();
  std::uint64_t dropped() const { return DroppedTotal; }

private:
  bool admit(LogLevel Level);
  void appendLine(std::string_view Event,
                  std::initializer_list<LogValue> Fields);

  EventLoop &Loop;
  int Descriptor;
  LogBudget Budget;
  std::string Buffer;
  bool FlushScheduled = false;
  std::int64_t CurrentSecond = 0;
  std::array<std::uint32_t, 3> WrittenThisSecond{};
  std::uint64_t DroppedUnreported = 0;
  std::uint64_t DroppedTotal = 0;
};

} // namespace banyanworks

#endif
