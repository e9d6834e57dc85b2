/// \file
/// Implements EventLog.
#include "edge/EventLog.h"

#include "edge/EventLoop.h"
#include "edge/LogLine.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace banyanworks {

EventLog::EventLog(EventLoop &Loop, int Descriptor, LogBudget Budget)
    : Loop(Loop), Descriptor(Descriptor), Budget(Budget) {
  int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool EventLog::admit(LogLevel Level) {
  auto Now = std::chrono::duration_cast<std::chrono::seconds>(
                 Loop.now().time_since_epoch())
                 .count();
  if (Now != CurrentSecond) {
    CurrentSecond = Now;
    WrittenThisSecond.fill(0);
    if (auto DroppedLines = std::exchange(DroppedUnreported, 0);
        DroppedLines > 0)
      appendLine("log.dropped", {{"lines", DroppedLines}});
  }
  auto LevelIndex = static_cast<std::size_t>(Level);
  if (WrittenThisSecond.at(LevelIndex) >=
          Budget.LinesPerSecond.at(LevelIndex) ||
      Buffer.size() >= Budget.MaxBufferedBytes) {
    ++DroppedUnreported;
    ++DroppedTotal;
    return false;
  }
  ++WrittenThisSecond.at(LevelIndex);
  return true;
}

void EventLog::appendLine(std::string_view Event,
                          std::initializer_list<LogValue> Fields) {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      Loop.wallNow().time_since_epoch());
  Buffer += "ts_ms=";
  Buffer += std::to_string(Millis.count());
  appendField(Buffer, "event", Event);
  for (const LogValue &Field : Fields)
    appendField(Buffer, Field.Name, Field.Text);
  Buffer += '\n';
}

void EventLog::write(LogLevel Level, std::string_view Event,
                     std::initializer_list<LogValue> Fields) {
  if (Level < Budget.MinLevel || !admit(Level))
    return;
  appendLine(Event, Fields);
  if (std::exchange(FlushScheduled, true))
    return;
  Loop.schedule(Budget.FlushInterval, [this] { flush(); });
}

void EventLog::flush() {
  FlushScheduled = false;
  if (Buffer.empty())
    return;
  ssize_t Count = ::write(Descriptor, Buffer.data(), Buffer.size());
  if (Count > 0)
    Buffer.erase(0, static_cast<std::size_t>(Count));
  // If the reader is slow, the rest is written later; MaxBufferedBytes bounds
  // the memory in use.
  if (!Buffer.empty() && !std::exchange(FlushScheduled, true))
    Loop.schedule(Budget.FlushInterval, [this] { flush(); });
}

} // namespace banyanworks
