/// \file
/// Defines StoreWatch, which follows all keys under a prefix of the store.
#ifndef BANYANWORKS_POOL_STOREWATCH_H
#define BANYANWORKS_POOL_STOREWATCH_H

#include "base/Time.h"
#include "state/Store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct WatchResult;
} // namespace banyanworks

namespace banyanworks::pool {

/// Wait times and delays of a StoreWatch.
struct WatchTiming {
  /// Maximum time for which the store may hold a call without an event.
  Duration MaxWait = std::chrono::seconds(1);
  /// Age that the view reaches while the store holds a call, at most; the wait
  /// is shortened accordingly. The response time of the store comes on top.
  /// With twice MaxWait, a view without events never shortens the wait.
  Duration MaxAge = std::chrono::seconds(2);
  /// Delay after a response with events, during which further events are
  /// batched.
  Duration BatchDelay{};
  /// Delay after a failed call.
  Duration RetryDelay = std::chrono::milliseconds(150);
  /// Time within which an expected revision must be reported; several round
  /// trips. It is also the minimum interval between the calls that check it.
  Duration MaxLag = std::chrono::milliseconds(200);
};

/// Lists the prefix, then watches it; lists again if the store has compacted
/// the history. Each version of an entry is reported once.
class StoreWatch {
public:
  /// Receives the current entry of a key; null if the key was deleted. The
  /// entries of other keys may still be older.
  using Listener =
      std::function<void(const std::string &Key, const StoreEntry *Entry)>;

  StoreWatch(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
             std::string Prefix, WatchTiming Timing, Listener OnChange);

  /// Sets a callback that is called each time all entries of a list, or all
  /// events of an answer, have been reported. The pages of a long list are not
  /// a snapshot of the store.
  void setAppliedListener(std::function<void()> Listener) {
    OnApplied = std::move(Listener);
  }

  void start();
  /// Stops reporting until it is started again; then all changes in between
  /// are reported.
  void stop();
  void setTiming(const WatchTiming &NewTiming) { Timing = NewTiming; }
  /// Lists the prefix again; \p Callback is called once the changes from a
  /// list requested after this call have been reported.
  void refresh(std::function<void()> Callback);
  /// Tells the watch that a key under its prefix was written at \p Expected. If
  /// that revision is not reported within WatchTiming::MaxLag, the watch asks
  /// the store again without a wait time, and lists if that does not report it
  /// either. At most one such call is made in each MaxLag.
  ///
  /// The load that it addresses: a store that drops its history delivers
  /// nothing to the watches for about a second while changes are made, and then
  /// cuts them. The owner saw 60 jobs 1.9 s late.
  void expectRevision(StoreRevision Expected);
  /// Time as of which the view is known to be current: the sending of the last
  /// call that was answered. TimePoint::min() before the first response.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  /// True if the prefix has been listed since the last start.
  bool complete() const { return Complete; }
  StoreRevision revision() const { return Revision; }

private:
  void list();
  void watch();
  /// Handles the answer to a call that was sent at \p SentAt.
  void watchAnswered(const WatchResult &Result, TimePoint SentAt);
  /// Reports the changes of an answer that are new. Returns false if the answer
  /// lacks a change that is known to have been made.
  bool applyChanges(const WatchResult &Result, TimePoint SentAt);
  /// Checks, when the oldest expected revision is MaxLag old, whether it has
  /// been reported.
  void scheduleLagCheck();
  void checkLag();
  /// Asks for changes without a wait time, beside the call that waits.
  void askForChanges();
  /// Records that the view is current as of \p SentAt, when the answered call
  /// was sent. An answer may have waited unread while the process was paused,
  /// or have been held up on its way, so its arrival does not tell its age.
  void confirm(TimePoint SentAt);
  void callFailed();
  void apply(const StoreEntry &Entry);
  void remove(const std::string &Key);
  void reportApplied();

  AsyncStore &Store;
  Timers &Clock;
  DecisionLog &Log;
  std::string Prefix;
  WatchTiming Timing;
  Listener OnChange;
  std::function<void()> OnApplied;
  std::map<std::string, StoreRevision> KnownVersions;
  StoreRevision Revision;
  TimePoint ConfirmedAt = TimePoint::min();
  bool Complete = false;
  bool Reachable = true;
  /// The highest revision passed to expectRevision().
  StoreRevision Expected;
  /// Expected revisions that have not been reported, and when they were
  /// expected; bounded.
  std::deque<std::pair<StoreRevision, TimePoint>> Unreported;
  TimePoint LastLagCall = TimePoint::min();
  /// The highest revision of a change that was reported, or of a list.
  StoreRevision Reported;
  bool LagCheckScheduled = false;
  /// A list, or a call without a wait time, is unanswered. A slow store must
  /// not be asked again before it has answered.
  bool ListInFlight = false;
  bool AskInFlight = false;
  /// The store was asked and did not report the expected revision; until the
  /// watch reports changes again, it is listed without being asked.
  bool AskedInVain = false;
  /// Incremented by each list and stop; responses to calls of an earlier
  /// generation are dropped.
  std::uint64_t Generation = 0;
  std::vector<std::function<void()>> RefreshCallbacks;
};

} // namespace banyanworks::pool

#endif
