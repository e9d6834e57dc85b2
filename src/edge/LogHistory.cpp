/// \file
/// Implements LogHistory.
#include "edge/LogHistory.h"

#include <algorithm>
#include <charconv>
#include <istream>
#include <ostream>
#include <string_view>

namespace banyanworks {

namespace {

/// A longer gap between two lines is reported in a line of its own.
constexpr std::int64_t GapMs = 1000;

/// The value of a field, up to the next space; empty if the line has no such
/// field.
std::string_view fieldValue(std::string_view Line, std::string_view Name) {
  std::string Prefix = std::string(Name) + "=";
  std::size_t Start = Line.find(Prefix);
  while (Start != std::string_view::npos && Start > 0 && Line[Start - 1] != ' ')
    Start = Line.find(Prefix, Start + 1);
  if (Start == std::string_view::npos)
    return {};
  std::string_view Rest = Line.substr(Start + Prefix.size());
  return Rest.substr(0, Rest.find(' '));
}

/// True for events that give context to others: ownership of the pool,
/// availability of the store, and the start and stop of processes.
bool isContextEvent(std::string_view Event) {
  for (std::string_view Prefix :
       {"owner.acquired", "owner.stepped_down", "owner.recovered",
        "store.watch.", "process.", "domain.changed", "log.dropped"})
    if (Event.starts_with(Prefix))
      return true;
  return false;
}

bool isWorkerEvent(std::string_view Event) {
  return Event.starts_with("worker.");
}

} // namespace

void LogHistory::read(std::istream &Log, const std::string &Source) {
  std::string Text;
  while (std::getline(Log, Text)) {
    std::size_t Start = Text.find("ts_ms=");
    if (Start == std::string::npos)
      continue;
    Line Entry;
    Entry.Text = Text.substr(Start);
    std::string_view Time = fieldValue(Entry.Text, "ts_ms");
    std::from_chars(Time.data(), Time.data() + Time.size(), Entry.TimeMs);
    Entry.Event = fieldValue(Entry.Text, "event");
    Entry.Worker = fieldValue(Entry.Text, "worker");
    Entry.NamesJob = Entry.Text.find(Id) != std::string::npos;
    Entry.Source = Source;
    if (Entry.NamesJob || isContextEvent(Entry.Event) ||
        isWorkerEvent(Entry.Event))
      Lines.push_back(std::move(Entry));
  }
}

std::vector<const LogHistory::Line *> LogHistory::selectLines() const {
  std::int64_t FirstMs = INT64_MAX;
  std::int64_t LastMs = 0;
  std::set<std::string> Workers;
  for (const Line &Entry : Lines) {
    if (!Entry.NamesJob)
      continue;
    FirstMs = std::min(FirstMs, Entry.TimeMs);
    LastMs = std::max(LastMs, Entry.TimeMs);
    if (!Entry.Worker.empty())
      Workers.insert(Entry.Worker);
  }
  std::vector<const Line *> Result;
  for (const Line &Entry : Lines) {
    bool WithinJob = Entry.TimeMs >= FirstMs && Entry.TimeMs <= LastMs;
    bool GivesContext =
        isContextEvent(Entry.Event) || Workers.contains(Entry.Worker);
    if (Entry.NamesJob || (WithinJob && GivesContext))
      Result.push_back(&Entry);
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Line *Left, const Line *Right) {
                     return Left->TimeMs < Right->TimeMs;
                   });
  return Result;
}

bool LogHistory::write(std::ostream &Out) const {
  std::vector<const Line *> Selected = selectLines();
  bool FoundId = false;
  std::int64_t FirstMs = 0;
  std::int64_t PreviousMs = 0;
  for (const Line *Entry : Selected) {
    FoundId |= Entry->NamesJob;
    if (FirstMs == 0)
      FirstMs = PreviousMs = Entry->TimeMs;
    if (Entry->TimeMs - PreviousMs > GapMs)
      Out << "          ... " << Entry->TimeMs - PreviousMs
          << " ms without a line\n";
    PreviousMs = Entry->TimeMs;
    Out << (Entry->NamesJob ? "* " : "  ") << "+" << Entry->TimeMs - FirstMs
        << " ms " << Entry->Source << ' '
        << Entry->Text.substr(Entry->Text.find("event=")) << '\n';
  }
  return FoundId;
}

} // namespace banyanworks
