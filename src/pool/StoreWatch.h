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

/// Wait times and delays of a StoreWatch.
struct WatchTiming {
  /// Maximum time for which the store may hold a call without an event. Limits
  /// the age of the view of a watch that receives no events.
  Duration MaxWait = std::chrono::seconds(1);
  /// Delay after a response with events, during which further events are
  /// batched.
  Duration BatchDelay{};
  /// Delay after a failed call.
  Duration RetryDelay = std::chrono::milliseconds(150);
};

/// Lists the prefix, then watches it; lists again if the store has compacted
/// the history. Each version of an entry is reported once.
class StoreWatch {
public:
  /// Receives the current entry of a key; null if the key was deleted.
  using Listener =
      std::function<void(const std::string &Key, const StoreEntry *Entry)>;

  StoreWatch(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
             std::string Prefix, WatchTiming Timing, Listener OnChange);

  void start();
  /// Stops reporting until it is started again; then all changes in between
  /// are reported.
  void stop();
  void setTiming(const WatchTiming &NewTiming) { Timing = NewTiming; }
  /// Lists the prefix again; \p Callback is called once the changes from a
  /// list requested after this call have been reported.
  void refresh(std::function<void()> Callback);
  /// Time at which the view was last known to be current; TimePoint::min()
  /// before the first response.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  /// True if the prefix has been listed since the last start.
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
  /// Incremented by each list and stop; responses to calls of an earlier
  /// generation are dropped.
  std::uint64_t Generation = 0;
  std::vector<std::function<void()>> RefreshCallbacks;
};

} // namespace banyanworks::pool

#endif
