/// \file
/// Defines ClaimLedger, the claims that the log's batches amount to.
#ifndef BANYANWORKS_REQUESTS_CLAIMTABLE_H
#define BANYANWORKS_REQUESTS_CLAIMTABLE_H

#include "base/Time.h"
#include "requests/Claim.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace banyanworks {

/// The state of each key after batches were applied in the log's order. The
/// first claim of a key wins; it holds the key until it is released or the
/// retention is over.
class ClaimTable {
public:
  explicit ClaimTable(Duration Retention) : Retention(Retention) {}

  void clear();
  void apply(TimePoint Now, const ClaimBatch &Batch);
  /// Forgets claims that were recorded longer ago than the retention.
  void removeExpired(TimePoint Now);

  /// True if \p Wish could be recorded.
  bool isKeyFree(const Claim &Candidate) const;
  /// True if the outcome would change an open claim.
  bool closesOpenClaim(const ClaimOutcome &Outcome) const;
  /// True if the claim of that outcome is known to have ended.
  bool isClosed(const ClaimOutcome &Outcome) const;
  /// What \p Wish came to, by the batches so far; Unavailable if neither it
  /// nor another claim holds the key.
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
