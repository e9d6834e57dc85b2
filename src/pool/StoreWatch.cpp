/// \file
/// Implements StoreWatch.
#include "pool/StoreWatch.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyanworks::pool {

namespace {

/// An owner makes at most some ten commits within WatchTiming::MaxLag.
constexpr std::size_t MaxUnreported = 64;
/// Answers that are older than their call's wait time and this are logged; a
/// slow store answers sooner.
constexpr Duration MaxAnswerDelay = std::chrono::milliseconds(600);

} // namespace

StoreWatch::StoreWatch(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                       std::string Prefix, WatchTiming Timing,
                       Listener OnChange)
    : Store(Store), Clock(Clock), Log(Log), Prefix(std::move(Prefix)),
      Timing(Timing), OnChange(std::move(OnChange)) {}

void StoreWatch::start() { list(); }

void StoreWatch::stop() {
  ++Generation;
  Complete = false;
  ListInFlight = false;
}

void StoreWatch::refresh(std::function<void()> Callback) {
  RefreshCallbacks.push_back(std::move(Callback));
  list();
}

void StoreWatch::confirm(TimePoint SentAt) {
  ConfirmedAt = std::max(ConfirmedAt, SentAt);
  Duration Age = Clock.now() - ConfirmedAt;
  if (Age < Timing.MaxWait + MaxAnswerDelay)
    return;
  Log.write(
      LogLevel::Notice, "store.watch.old_answer",
      {{"prefix", Prefix},
       {"revision", Revision.value()},
       {"age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Age).count()}});
}

void StoreWatch::callFailed() {
  if (std::exchange(Reachable, false))
    Log.write(LogLevel::Change, "store.watch.lost", {{"prefix", Prefix}});
}

void StoreWatch::list() {
  std::uint64_t CallGeneration = ++Generation;
  ListInFlight = true;
  StoreRevision Covered = Expected;
  TimePoint SentAt = Clock.now();
  Store.list(Prefix, [this, CallGeneration, Covered,
                      SentAt](const ListResult &Result) {
    if (CallGeneration != Generation)
      return;
    ListInFlight = false;
    if (Result.Status != CallStatus::Done) {
      callFailed();
      Clock.schedule(Timing.RetryDelay, [this, CallGeneration] {
        if (CallGeneration == Generation)
          list();
      });
      return;
    }
    if (!std::exchange(Reachable, true))
      Log.write(LogLevel::Change, "store.watch.regained",
                {{"prefix", Prefix}, {"revision", Result.AtRevision.value()}});
    std::set<std::string> Present;
    for (const StoreEntry &Entry : Result.Entries)
      Present.insert(Entry.Key);
    std::vector<std::string> Removed;
    for (const auto &Entry : KnownVersions)
      if (!Present.contains(Entry.first))
        Removed.push_back(Entry.first);
    for (const std::string &Key : Removed)
      remove(Key);
    for (const StoreEntry &Entry : Result.Entries)
      apply(Entry);
    Revision = Result.AtRevision;
    // The list was requested after these revisions were written.
    Reported = std::max({Reported, Revision, Covered});
    confirm(SentAt);
    Complete = true;
    reportApplied();
    for (auto &Callback : std::exchange(RefreshCallbacks, {}))
      Callback();
    if (CallGeneration == Generation)
      watch();
  });
}

void StoreWatch::watch() {
  std::uint64_t CallGeneration = Generation;
  // A watch call that an unresponsive store has dropped is only detected by
  // its timeout. Calls without a wait time detect the return of the store
  // sooner. They also confirm the view soon after an answer that took long to
  // arrive.
  TimePoint SentAt = Clock.now();
  Duration Wait = Reachable ? std::clamp(ConfirmedAt + Timing.MaxAge - SentAt,
                                         Duration::zero(), Timing.MaxWait)
                            : Duration::zero();
  Store.watch({Prefix, Revision, Wait},
              [this, CallGeneration, SentAt](const WatchResult &Result) {
                if (CallGeneration == Generation)
                  watchAnswered(Result, SentAt);
              });
}

void StoreWatch::watchAnswered(const WatchResult &Result, TimePoint SentAt) {
  std::uint64_t CallGeneration = Generation;
  auto WatchAgain = [this, CallGeneration] {
    if (CallGeneration == Generation)
      watch();
  };
  if (Result.Status != CallStatus::Done) {
    callFailed();
    Clock.schedule(Timing.RetryDelay, WatchAgain);
    return;
  }
  if (!Result.Changes.Compacted && !std::exchange(Reachable, true))
    Log.write(LogLevel::Change, "store.watch.regained",
              {{"prefix", Prefix}, {"revision", Result.AtRevision.value()}});
  if (Result.Changes.Compacted || !applyChanges(Result, SentAt)) {
    Log.write(LogLevel::Notice, "store.watch.compacted",
              {{"prefix", Prefix}, {"revision", Revision.value()}});
    list();
    return;
  }
  if (CallGeneration != Generation)
    return;
  if (Result.Changes.Events.empty())
    watch();
  else
    Clock.schedule(Timing.BatchDelay, WatchAgain);
}

bool StoreWatch::applyChanges(const WatchResult &Result, TimePoint SentAt) {
  for (const StoreEvent &Event : Result.Changes.Events)
    Reported = std::max(Reported, Event.Revision);
  if (Reported < Expected && Result.AtRevision >= Expected)
    return false;
  AskedInVain = AskedInVain && Result.Changes.Events.empty();
  // Another call may have reported later changes in the meantime.
  StoreRevision Known = Revision;
  Revision = std::max(Revision, Result.AtRevision);
  confirm(SentAt);
  for (const StoreEvent &Event : Result.Changes.Events) {
    if (Event.Revision <= Known)
      continue;
    if (Event.Entry)
      apply(*Event.Entry);
    else
      remove(Event.Key);
  }
  reportApplied();
  return true;
}

void StoreWatch::expectRevision(StoreRevision Written) {
  if (Reported >= Written)
    return;
  Expected = std::max(Expected, Written);
  // The oldest revisions decide when the watch is stalled.
  if (Unreported.size() < MaxUnreported)
    Unreported.emplace_back(Written, Clock.now());
  scheduleLagCheck();
}

void StoreWatch::scheduleLagCheck() {
  while (!Unreported.empty() && Unreported.front().first <= Reported)
    Unreported.pop_front();
  if (Unreported.empty() || std::exchange(LagCheckScheduled, true))
    return;
  TimePoint Due =
      std::max(Unreported.front().second, LastLagCall) + Timing.MaxLag;
  Clock.schedule(std::max(Due - Clock.now(), Duration::zero()), [this] {
    LagCheckScheduled = false;
    checkLag();
    scheduleLagCheck();
  });
}

void StoreWatch::checkLag() {
  TimePoint Now = Clock.now();
  auto Lagging =
      std::find_if(Unreported.begin(), Unreported.end(),
                   [this](const auto &Item) { return Item.first > Reported; });
  if (Lagging == Unreported.end() || Now - Lagging->second < Timing.MaxLag)
    return;
  LastLagCall = Now;
  // While the store is lost, the watch asks without a wait time already.
  if (!Complete || !Reachable || ListInFlight || AskInFlight)
    return;
  Log.write(LogLevel::Notice, "store.watch.stalled",
            {{"prefix", Prefix},
             {"revision", Revision.value()},
             {"expected", Lagging->first.value()},
             {"action", AskedInVain ? "list" : "ask"}});
  if (AskedInVain)
    list();
  else
    askForChanges();
}

void StoreWatch::askForChanges() {
  AskInFlight = true;
  std::uint64_t CallGeneration = Generation;
  TimePoint SentAt = Clock.now();
  Store.watch({Prefix, Revision, Duration::zero()},
              [this, CallGeneration, SentAt](const WatchResult &Result) {
                AskInFlight = false;
                // A failure of the store is detected by the call that waits.
                if (CallGeneration != Generation ||
                    Result.Status != CallStatus::Done)
                  return;
                bool Reports = Result.AtRevision > Revision;
                if (!Reports && !Result.Changes.Compacted) {
                  AskedInVain = Reported < Expected;
                  return;
                }
                // The call that waits is stalled; it is replaced.
                ++Generation;
                watchAnswered(Result, SentAt);
              });
}

void StoreWatch::apply(const StoreEntry &Entry) {
  StoreRevision &Version = KnownVersions[Entry.Key];
  if (Entry.Version <= Version)
    return;
  Version = Entry.Version;
  OnChange(Entry.Key, &Entry);
}

void StoreWatch::remove(const std::string &Key) {
  if (KnownVersions.erase(Key) > 0)
    OnChange(Key, nullptr);
}

void StoreWatch::reportApplied() {
  if (OnApplied)
    OnApplied();
}

} // namespace banyanworks::pool
