/// \file
/// Defines AsyncStore, the asynchronous interface to the key-value store that
/// the components of a daemon use.
#ifndef BANYANWORKS_STATE_ASYNCSTORE_H
#define BANYANWORKS_STATE_ASYNCSTORE_H

#include "state/Store.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace banyanworks {

/// The outcome of a call as far as the caller can know it.
enum class CallStatus : std::uint8_t {
  Done,
  /// The store rejected the call: a condition did not hold, or the lease does
  /// not exist.
  Rejected,
  /// The store refused the call for its content, and would do so again.
  Invalid,
  /// The call had no effect: it was never sent, or the store was overloaded.
  NotApplied,
  /// The call may have taken effect, or may still do so.
  Unknown,
};

/// Writes and deletions that the store applies atomically if every condition
/// holds.
struct Transaction {
  struct Condition {
    std::string Key;
    /// The version that the key must have; zero if the key must not exist.
    StoreRevision Version;
  };
  struct Put {
    std::string Key;
    std::string Value;
    StoreLeaseId Lease;
  };
  std::vector<Condition> Conditions;
  std::vector<Put> Puts;
  std::vector<std::string> Deletes;
};

struct TransactionResult {
  CallStatus Status = CallStatus::Unknown;
  /// For Done: the revision of all written keys.
  StoreRevision Version;
  /// For Rejected: the current entries of the keys in the conditions.
  std::vector<StoreEntry> Current;
  /// True if a lease that a put refers to no longer exists.
  bool LeaseGone = false;
};

struct ListResult {
  CallStatus Status = CallStatus::Unknown;
  std::vector<StoreEntry> Entries;
  StoreRevision AtRevision;
  /// Items of the answer that could not be read and are left out.
  std::size_t UnreadableItems = 0;
};

struct WatchResult {
  CallStatus Status = CallStatus::Unknown;
  EventsAnswer Changes;
  /// The revision after which the next watch continues.
  StoreRevision AtRevision;
  std::size_t UnreadableItems = 0;
};

struct LeaseResult {
  CallStatus Status = CallStatus::Unknown;
  StoreLeaseId Lease;
  Duration TimeToLive{};
};

/// An answer shows the state of the store at a time between the sending of the
/// call and its callback; only the former bounds its age.
///
/// Each call invokes its callback exactly once, on the event loop: a write or
/// lease call within its timeout, a read also later while its answer is
/// arriving. A call that timed out may still take effect later.
class AsyncStore {
public:
  virtual ~AsyncStore() = default;

  virtual void list(const std::string &Prefix,
                    std::function<void(ListResult)> Done) = 0;
  virtual void read(const std::string &Key,
                    std::function<void(ListResult)> Done) = 0;
  virtual void watch(const WatchRequest &Request,
                     std::function<void(WatchResult)> Done) = 0;
  virtual void commit(const Transaction &Changes, Duration Timeout,
                      std::function<void(TransactionResult)> Done) = 0;
  virtual void grantLease(Duration TimeToLive,
                          std::function<void(LeaseResult)> Done) = 0;
  virtual void renewLease(StoreLeaseId Lease,
                          std::function<void(LeaseResult)> Done) = 0;
  virtual void endLease(StoreLeaseId Lease,
                        std::function<void(LeaseResult)> Done) = 0;
};

} // namespace banyanworks

#endif
