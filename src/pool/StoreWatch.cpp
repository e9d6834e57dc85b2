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
                       std::string Prefix, WatchPace Pace, Listener Changed)
    : Store(Store), Clock(Clock), Log(Log), Prefix(std::move(Prefix)),
      Pace(Pace), Changed(std::move(Changed)) {}

void StoreWatch::start() { list(); }

void StoreWatch::stop() {
  ++Loop;
  Complete = false;
}

void StoreWatch::refresh(std::function<void()> Listed) {
  Waiting.push_back(std::move(Listed));
  list();
}

void StoreWatch::failed() {
  if (std::exchange(Reachable, false))
    Log.write(LogLevel::Change, "store.watch.lost", {{"prefix", Prefix}});
}

void StoreWatch::list() {
  std::uint64_t Mine = ++Loop;
  Store.list(Prefix, [this, Mine](const ListResult &Result) {
    if (Mine != Loop)
      return;
    if (Result.Status != CallStatus::Done) {
      failed();
      Clock.schedule(Pace.Retry, [this, Mine] {
        if (Mine == Loop)
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
    std::vector<std::string> Gone;
    for (const auto &Entry : Known)
      if (!Present.contains(Entry.first))
        Gone.push_back(Entry.first);
    for (const std::string &Key : Gone)
      remove(Key);
    for (const StoreEntry &Entry : Result.Entries)
      apply(Entry);
    Revision = Result.AtRevision;
    ConfirmedAt = Clock.now();
    Complete = true;
    for (auto &Listed : std::exchange(Waiting, {}))
      Listed();
    if (Mine == Loop)
      watch();
  });
}

void StoreWatch::watch() {
  std::uint64_t Mine = Loop;
  // A call that a silent store has swallowed is only known by its time-out, so
  // that one which does not wait finds the store again sooner.
  Duration Wait = Reachable ? Pace.Wait : Duration::zero();
  Store.watch({Prefix, Revision, Wait}, [this,
                                         Mine](const WatchResult &Result) {
    if (Mine != Loop)
      return;
    auto Next = [this, Mine] {
      if (Mine == Loop)
        watch();
    };
    if (Result.Status != CallStatus::Done) {
      failed();
      Clock.schedule(Pace.Retry, Next);
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
    if (Mine != Loop)
      return;
    if (Result.Changes.Events.empty())
      watch();
    else
      Clock.schedule(Pace.Gather, Next);
  });
}

void StoreWatch::apply(const StoreEntry &Entry) {
  StoreRevision &Version = Known[Entry.Key];
  if (Entry.Version <= Version)
    return;
  Version = Entry.Version;
  Changed(Entry.Key, &Entry);
}

void StoreWatch::remove(const std::string &Key) {
  if (Known.erase(Key) > 0)
    Changed(Key, nullptr);
}

} // namespace banyanworks::pool
