/// \file
/// Defines SilentLosses, the workers whose runs were given up without proof
/// that their processes have ended, and what settles it later.
#ifndef BANYANWORKS_POOL_SILENTLOSSES_H
#define BANYANWORKS_POOL_SILENTLOSSES_H

#include "base/Ids.h"
#include "base/Time.h"
#include "pool/TaskKey.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::pool {

struct PoolWorker;

/// A worker that was lost, and the tasks that it held.
struct SilentWorker {
  WorkerId Id;
  std::string Address;
  /// The incarnation that was lost; zero if it is not known.
  Incarnation Life;
  std::vector<TaskKey> Tasks;
  /// When its runs were given up.
  TimePoint KnownAt;
};

class SilentLosses {
public:
  void add(const SilentWorker &Lost);
  /// Takes a worker that has answered; nothing if it was not lost.
  std::optional<SilentWorker> takeAnswered(const WorkerId &Id);
  /// Takes the workers whose address another worker has: their processes have
  /// ended.
  std::vector<SilentWorker> takeReplaced(const PoolWorker &Listed);
  /// Takes the workers that were not heard of for CrashRecord::GoneAfter,
  /// except those that the directory still lists.
  std::vector<SilentWorker>
  takeGone(TimePoint Now,
           const std::function<bool(const WorkerId &)> &IsListed);

private:
  template <class Predicate>
  std::vector<SilentWorker> takeIf(Predicate Matches);

  std::map<WorkerId, SilentWorker> Workers;
};

} // namespace banyanworks::pool

#endif
