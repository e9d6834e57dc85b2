/// \file
/// Defines the requests to the platform's key-value store and its answers. An
/// adapter in the edge layer transports them; the core handles only these
/// values.
#ifndef BANYANWORKS_STATE_STORE_H
#define BANYANWORKS_STATE_STORE_H

#include "base/StrongType.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanworks {

/// The store's revision, which increases by one with each change of any key.
using StoreRevision = Number<struct StoreRevisionTag>;
/// The id of a lease that the store granted; zero for none.
using StoreLeaseId = Number<struct StoreLeaseTag>;
/// The number of a call to the store, assigned by its sender.
using StoreCallId = Number<struct StoreCallTag>;

/// Maximum size of a value in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 1 << 20;

/// A key and its value.
struct StoreEntry {
  std::string Key;
  std::string Value;
  /// The store's revision at which the value was written. Conditional writes
  /// compare it.
  StoreRevision Version;
  /// The entry is deleted when this lease ends; zero for none.
  StoreLeaseId Lease;

  bool operator==(const StoreEntry &) const = default;
};

/// Reads one key. Answered by EntryAnswer.
struct GetRequest {
  std::string Key;
};

/// Writes one key. Answered by WrittenAnswer, ConflictAnswer or
/// LeaseGoneAnswer.
struct PutRequest {
  std::string Key;
  std::string Value;
  /// The version that the key must have; zero if the key must not exist;
  /// nothing for an unconditional write.
  std::optional<StoreRevision> ExpectedVersion;
  StoreLeaseId Lease;
};

/// Deletes one key; succeeds also if the key does not exist. Answered by
/// WrittenAnswer or ConflictAnswer.
struct DeleteRequest {
  std::string Key;
  std::optional<StoreRevision> ExpectedVersion;
};

/// Reads all entries whose key begins with a prefix, in key order. Answered by
/// EntriesAnswer.
struct ListRequest {
  std::string Prefix;
};

/// Requests a new lease. Answered by LeaseAnswer.
struct LeaseGrantRequest {
  Duration TimeToLive{};
};

/// Renews a lease. Answered by LeaseAnswer or LeaseGoneAnswer.
struct LeaseRenewRequest {
  StoreLeaseId Lease;
};

/// Revokes a lease and deletes its keys. Answered by LeaseAnswer.
struct LeaseRevokeRequest {
  StoreLeaseId Lease;
};

/// Waits for changes under a prefix after a revision. Answered by EventsAnswer,
/// without events if there was no change within \ref MaxWait.
struct WatchRequest {
  std::string Prefix;
  StoreRevision AfterRevision;
  Duration MaxWait{};
};

using StoreRequest =
    std::variant<GetRequest, PutRequest, DeleteRequest, ListRequest,
                 LeaseGrantRequest, LeaseRenewRequest, LeaseRevokeRequest,
                 WatchRequest>;

/// The entry that was read, or nothing if the key does not exist.
struct EntryAnswer {
  std::optional<StoreEntry> Entry;
};

/// The write took effect and produced this version.
struct WrittenAnswer {
  StoreRevision Version;
};

/// The write did not take effect; carries the current entry of the key.
struct ConflictAnswer {
  std::optional<StoreEntry> Current;
};

/// The entries that were read.
struct EntriesAnswer {
  std::vector<StoreEntry> Entries;
};

/// The lease is valid for this time, counted from the store's answer.
struct LeaseAnswer {
  StoreLeaseId Lease;
  Duration TimeToLive{};
};

/// The lease does not exist; nothing took effect.
struct LeaseGoneAnswer {};

/// A change of one key.
struct StoreEvent {
  StoreRevision Revision;
  std::string Key;
  /// Nothing if the key was deleted.
  std::optional<StoreEntry> Entry;
};

/// The changes that a watch found, in order of revision.
struct EventsAnswer {
  std::vector<StoreEvent> Events;
  /// True if the store no longer has all changes since the requested revision;
  /// the watcher must list the prefix again.
  bool Compacted = false;
};

/// The store refused the call without effect, for example because of its rate
/// limit.
struct RefusedAnswer {
  Duration RetryAfter{};
};

/// The store was unreachable or did not answer in time; whether the call took
/// effect is unknown.
struct UnavailableAnswer {};

using StoreResult =
    std::variant<EntryAnswer, WrittenAnswer, ConflictAnswer, EntriesAnswer,
                 LeaseAnswer, LeaseGoneAnswer, EventsAnswer, RefusedAnswer,
                 UnavailableAnswer>;

/// A result and the store's revision at that time. The revision is meaningless
/// for RefusedAnswer and UnavailableAnswer.
struct StoreAnswer {
  StoreRevision Revision;
  StoreResult Result;
};

} // namespace banyanworks

#endif
