/// \file
/// Defines StoreWatch, which follows all keys under a prefix of the store.
#ifndef BANYANWORKS_POOL_STOREWATCH_H
#define BANYANWORKS_POOL_STOREWATCH_H

#include "base/Time.h"
#include "state/Store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
} // namespace banyanworks

namespace banyanworks::pool {

/// How a StoreWatch paces its calls.
struct WatchTiming {
  /// How long the store may hold a call without an event. Bounds for how long
  /// a watch that hears nothing is believed.
  Duration MaxWait = std::chrono::seconds(1);
  /// The pause after an answer with events, in which more can gather.
  Duration BatchDelay{};
  /// The pause after a call that failed.
  Duration RetryDelay = std::chrono::milliseconds(150);
};

/// Lists the prefix, then watches it; lists again when the store no longer has
/// the history. Each entry is reported once for each version.
class StoreWatch {
public:
  /// The entry as it is now, or nothing if the key is gone.
  using Listener =
      std::function<void(const std::string &Key, const StoreEntry *Entry)>;

  StoreWatch(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
             std::string Prefix, WatchTiming Timing, Listener OnChange);

  void start();
  /// Hears nothing more until it is started again; then it reports what has
  /// changed in between.
  void stop();
  void setTiming(const WatchTiming &NewTiming) { Timing = NewTiming; }
  /// Lists again now; \p Listed is called when a list that was asked for after
  /// this call has been reported.
  void refresh(std::function<void()> Callback);
  /// When the view was last known to be current; TimePoint::min() before the
  /// first answer.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  /// True once the prefix has been listed.
  bool complete() const { return Complete; }
  StoreRevision revision() const { return Revision; }

private:
  void list();
  void watch();
  void callFailed();
  void apply(const StoreEntry &Entry);
  void remove(const std::string &Key);

  AsyncStore &Store;
  Timers &Clock;
  DecisionLog &Log;
  std::string Prefix;
  WatchTiming Timing;
  Listener OnChange;
  std::map<std::string, StoreRevision> KnownVersions;
  StoreRevision Revision;
  TimePoint ConfirmedAt = TimePoint::min();
  bool Complete = false;
  bool Reachable = true;
  /// Counts the loops; an answer to a call of an earlier loop is dropped.
  std::uint64_t Generation = 0;
  std::vector<std::function<void()>> RefreshCallbacks;
};

} // namespace banyanworks::pool

#endif
