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
  if (Now != Second) {
    Second = Now;
    Written.fill(0);
    if (auto Lost = std::exchange(Dropped, 0); Lost > 0)
      put("log.dropped", {{"lines", Lost}});
  }
  auto Kind = static_cast<std::size_t>(Level);
  if (Written.at(Kind) >= Budget.LinesPerSecond.at(Kind) ||
      Pending.size() >= Budget.Buffer) {
    ++Dropped;
    ++DroppedTotal;
    return false;
  }
  ++Written.at(Kind);
  return true;
}

void EventLog::put(std::string_view Event,
                   std::initializer_list<LogValue> Fields) {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      Loop.wallNow().time_since_epoch());
  Pending += "ts_ms=";
  Pending += std::to_string(Millis.count());
  appendField(Pending, "event", Event);
  for (const LogValue &Field : Fields)
    appendField(Pending, Field.Name, Field.Text);
  Pending += '\n';
}

void EventLog::write(LogLevel Level, std::string_view Event,
                     std::initializer_list<LogValue> Fields) {
  if (Level < Budget.Least || !admit(Level))
    return;
  put(Event, Fields);
  if (std::exchange(FlushPlanned, true))
    return;
  Loop.schedule(Budget.Flush, [this] { flush(); });
}

void EventLog::flush() {
  FlushPlanned = false;
  if (Pending.empty())
    return;
  ssize_t Count = ::write(Descriptor, Pending.data(), Pending.size());
  if (Count > 0)
    Pending.erase(0, static_cast<std::size_t>(Count));
  // A reader that does not keep up is waited for; the buffer bounds what it
  // may cost.
  if (!Pending.empty() && !std::exchange(FlushPlanned, true))
    Loop.schedule(Budget.Flush, [this] { flush(); });
}

} // namespace banyanworks
