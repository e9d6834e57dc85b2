/// \file
/// Defines EventLog, which writes decisions as lines on the standard output.
#ifndef BANYANWORKS_EDGE_EVENTLOG_H
#define BANYANWORKS_EDGE_EVENTLOG_H

#include "base/DecisionLog.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace banyanworks {

class EventLoop;

/// The volume that an EventLog may write.
struct LogBudget {
  /// Lines of each level in a second: routine, notice, change. The owner of a
  /// thousand workers places, starts and ends some 300 tasks a second.
  std::array<std::uint32_t, 3> LinesPerSecond = {1200, 400, 200};
  /// Bytes that wait for a slow reader; more are dropped and counted.
  std::size_t MaxBufferedBytes = 256UL * 1024;
  /// Lines are written together after so long.
  Duration FlushInterval = std::chrono::milliseconds(50);
  /// Lines below this are left out.
  LogLevel MinLevel = LogLevel::Routine;
};

/// Never blocks: the output is made non-blocking, and what does not fit the
/// budget or the buffer is counted in a line of its own.
class EventLog : public DecisionLog {
public:
  EventLog(EventLoop &Loop, int Descriptor, LogBudget Budget);

  void write(LogLevel Level, std::string_view Event,
             std::initializer_list<LogValue> Fields) override;
  /// Writes what is buffered, as far as the reader takes it.
  void flush();
  std::uint64_t dropped() const { return DroppedTotal; }

private:
  bool admit(LogLevel Level);
  void appendLine(std::string_view Event,
                  std::initializer_list<LogValue> Fields);

  EventLoop &Loop;
  int Descriptor;
  LogBudget Budget;
  std::string Pending;
  bool FlushScheduled = false;
  std::int64_t CurrentSecond = 0;
  std::array<std::uint32_t, 3> WrittenThisSecond{};
  std::uint64_t DroppedUnreported = 0;
  std::uint64_t DroppedTotal = 0;
};

} // namespace banyanworks

#endif
