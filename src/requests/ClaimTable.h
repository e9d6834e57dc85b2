/// \file
/// Defines ClaimTable, the current claims by key, built from the claim log.
#ifndef BANYANWORKS_REQUESTS_CLAIMTABLE_H
#define BANYANWORKS_REQUESTS_CLAIMTABLE_H

#include "base/Time.h"
#include "requests/Claim.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace banyanworks {

/// The state of each key after applying batches in log order. The first claim
/// of a key wins and holds the key until it is released or the retention period
/// ends.
class ClaimTable {
public:
  explicit ClaimTable(Duration Retention) : Retention(Retention) {}

  void clear();
  void apply(TimePoint Now, const ClaimBatch &Batch);
  /// Removes claims that were recorded longer ago than the retention period.
  void removeExpired(TimePoint Now);

  /// True if \p Candidate can take its key: no claim holds the key, or the
  /// holder, another claim, was released.
  bool isKeyFree(const Claim &Candidate) const;
  /// True if \p Outcome belongs to a claim that is still open.
  bool closesOpenClaim(const ClaimOutcome &Outcome) const;
  /// True if the claim of \p Outcome holds its key and is no longer open.
  bool isClosed(const ClaimOutcome &Outcome) const;
  /// The decision on \p Candidate after the batches applied so far; Unavailable
  /// if no claim holds the key.
  ClaimDecision decisionFor(const Claim &Candidate) const;

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    ClaimIdentity Identity;
    BodyDigest Body;
    ClaimState State = ClaimState::Open;
    int Status = 0;
  };
  using FullKey = std::pair<WorkspaceId, IdempotencyKey>;
  struct FullKeyHash {
    std::size_t operator()(const FullKey &Key) const {
      return std::hash<WorkspaceId>()(Key.first) * 31 +
             std::hash<IdempotencyKey>()(Key.second);
    }
  };
  struct Expiry {
    TimePoint ExpiresAt;
    FullKey Key;
    ClaimIdentity Identity;
  };

  Duration Retention;
  std::unordered_map<FullKey, Entry, FullKeyHash> Entries;
  std::deque<Expiry> Expiries;
};

} // namespace banyanworks

#endif
