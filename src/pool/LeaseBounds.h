/// \file
/// Defines LeaseBounds, the list of workers that did not answer an owner after
/// its takeover, with the times at which their leases have ended at the latest.
/// Addresses several takeovers within the time that an owner waits for the
/// leases of earlier owners: the list is stored, so that a successor does not
/// wait that time anew.
#ifndef BANYANWORKS_POOL_LEASEBOUNDS_H
#define BANYANWORKS_POOL_LEASEBOUNDS_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "base/WallTime.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks::pool {

/// Holds the list during one term of ownership. While a worker may be on the
/// stored list, nobody extends its lease, so that the stored time remains an
/// upper bound. A worker leaves the list by a commit, which a successor would
/// fence.
class LeaseBounds {
public:
  /// Added to the stored times, which the successor compares with its own
  /// clock; the time of day may jump by 2 s on a VM.
  static constexpr Duration ClockMargin = std::chrono::seconds(5);

  /// Takes over the list that earlier owners stored. The bounds are at most \p
  /// AllEnded, the time at which the leases of all earlier owners have ended.
  /// Fails on a malformed list; the owner then waits until \p AllEnded and
  /// withholds the leases of all workers until the list has been replaced.
  Outcome<void> restore(const std::string &Stored, TimePoint AllEnded,
                        TimePoint Now, WallTime Wall);

  /// Adds a worker whose leases, those of this owner included, have ended at
  /// \p EndsBy; no effect on a listed worker.
  void add(const WorkerId &Id, TimePoint EndsBy, TimePoint Now, WallTime Wall);
  /// Removes a worker from the list with the next commit.
  void release(const WorkerId &Id);
  /// The listed workers that are not released.
  std::vector<WorkerId> listed() const;

  /// Whether the stored list has to be replaced.
  bool changed() const { return Changed; }
  /// Returns the list to store with the next commit; empty to delete it. Called
  /// once for each commit; committed() or commitRefused() follows before the
  /// next call.
  std::string startCommit();
  /// Handles a commit of the list that had no effect.
  void commitRefused() { Changed = true; }
  /// Handles the commit of the list. Returns the workers whose leases may now
  /// be extended.
  std::vector<WorkerId> committed();

  /// Whether a lease of the worker may not be extended.
  bool withholdsLease(const WorkerId &Id) const {
    return Unreadable || Entries.contains(Id);
  }
  /// The time at which leases of earlier owners on the worker have ended;
  /// nothing if the worker was not on the list or has answered an extension.
  /// After a malformed list, every worker has a bound.
  std::optional<TimePoint> endsBy(const WorkerId &Id) const;
  /// Handles the answer to an extension, which replaces the leases of earlier
  /// owners.
  void leaseExtended(const WorkerId &Id) { ReleasedEnds.erase(Id); }

private:
  struct Entry {
    /// As stored, so that the margin is added once and not by each successor.
    WallTime StoredEnd;
    TimePoint EndsBy;
    bool Released = false;
    /// The commit in progress removes the entry.
    bool RemovalInFlight = false;
  };

  /// Workers that may be on the stored list.
  std::map<WorkerId, Entry> Entries;
  /// Bounds of workers that left the list and have not answered an extension.
  std::map<WorkerId, TimePoint> ReleasedEnds;
  bool Changed = false;
  /// The stored list is malformed and not replaced yet.
  bool Unreadable = false;
  /// Bound of the workers that a malformed list may have named.
  std::optional<TimePoint> UnreadableEnd;
};

} // namespace banyanworks::pool

#endif
