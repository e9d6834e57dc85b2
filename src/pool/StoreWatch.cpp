/// \file
/// Implements StoreWatch.
#include "pool/StoreWatch.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "state/AsyncStore.h"

#include <set>
#include <utility>

namespace banyanworks::pool {

StoreWatch::StoreWatch(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                       std::string Prefix, WatchTiming Timing,
                       Listener OnChange)
    : Store(Store), Clock(Clock), Log(Log), Prefix(std::move(Prefix)),
      Timing(Timing), OnChange(std::move(OnChange)) {}

void StoreWatch::start() { list(); }

void StoreWatch::stop() {
  ++Generation;
  Complete = false;
}

void StoreWatch::refresh(std::function<void()> Callback) {
  RefreshCallbacks.push_back(std::move(Callback));
  list();
}

void StoreWatch::callFailed() {
  if (std::exchange(Reachable, false))
    Log.write(LogLevel::Change, "store.watch.lost", {{"prefix", Prefix}});
}

void StoreWatch::list() {
  std::uint64_t CallGeneration = ++Generation;
  Store.list(Prefix, [this, CallGeneration](const ListResult &Result) {
    if (CallGeneration != Generation)
      return;
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
    ConfirmedAt = Clock.now();
    Complete = true;
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
  // sooner.
  Duration Wait = Reachable ? Timing.MaxWait : Duration::zero();
  Store.watch({Prefix, Revision, Wait}, [this, CallGeneration](
                                            const WatchResult &Result) {
    if (CallGeneration != Generation)
      return;
    auto WatchAgain = [this, CallGeneration] {
      if (CallGeneration == Generation)
        watch();
    };
    if (Result.Status != CallStatus::Done) {
      callFailed();
      Clock.schedule(Timing.RetryDelay, WatchAgain);
      return;
    }
    if (Result.Changes.Compacted) {
      Log.write(LogLevel::Notice, "store.watch.compacted",
                {{"prefix", Prefix}, {"revision", Revision.value()}});
      list();
      return;
    }
    if (!std::exchange(Reachable, true))
      Log.write(LogLevel::Change, "store.watch.regained",
                {{"prefix", Prefix}, {"revision", Result.AtRevision.value()}});
    for (const StoreEvent &Event : Result.Changes.Events) {
      if (Event.Entry)
        apply(*Event.Entry);
      else
        remove(Event.Key);
    }
    Revision = std::max(Revision, Result.AtRevision);
    ConfirmedAt = Clock.now();
    if (CallGeneration != Generation)
      return;
    if (Result.Changes.Events.empty())
      watch();
    else
      Clock.schedule(Timing.BatchDelay, WatchAgain);
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

} // namespace banyanworks::pool
