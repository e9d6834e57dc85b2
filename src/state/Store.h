/// \file
/// Defines the requests to the platform's key-value store and its answers. An
/// adapter of the edge carries them; the core only sees these values.
#ifndef BANYANWORKS_STATE_STORE_H
#define BANYANWORKS_STATE_STORE_H

#include "base/StrongType.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanworks {

/// The store's revision: grows by one with each change of any key.
using StoreRevision = Number<struct StoreRevisionTag>;
/// A lease that the store granted; zero for none.
using StoreLeaseId = Number<struct StoreLeaseTag>;
/// One call to the store as its sender counts them.
using StoreCallId = Number<struct StoreCallTag>;

/// The largest value that the store takes, in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 1 << 20;

/// A key with its value.
struct StoreEntry {
  std::string Key;
  std::string Value;
  /// The store's revision at which the value was written; the version that a
  /// conditional write compares.
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
  /// The version that the key must have; zero if it must not exist, nothing to
  /// write in any case.
  std::optional<StoreRevision> ExpectedVersion;
  StoreLeaseId Lease;
};

/// Deletes one key; done also if there is none. Answered by WrittenAnswer or
/// ConflictAnswer.
struct DeleteRequest {
  std::string Key;
  std::optional<StoreRevision> ExpectedVersion;
};

/// Reads all keys that begin with a prefix, in order. Answered by
/// EntriesAnswer.
struct ListRequest {
  std::string Prefix;
};

/// Asks for a lease. Answered by LeaseAnswer.
struct LeaseGrantRequest {
  Duration TimeToLive{};
};

/// Renews a lease. Answered by LeaseAnswer or LeaseGoneAnswer.
struct LeaseRenewRequest {
  StoreLeaseId Lease;
};

/// Ends a lease and deletes its keys. Answered by LeaseAnswer.
struct LeaseRevokeRequest {
  StoreLeaseId Lease;
};

/// Waits for changes under a prefix after a revision; answered with no events
/// once the wait is over. Answered by EventsAnswer.
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

/// The write took effect, under this version.
struct WrittenAnswer {
  StoreRevision Version;
};

/// The write did not take effect; the key holds this now.
struct ConflictAnswer {
  std::optional<StoreEntry> Current;
};

/// The entries that were read.
struct EntriesAnswer {
  std::vector<StoreEntry> Entries;
};

/// The lease stands for this long, counted from when the store answered.
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

/// The changes of a watch in order of revision.
struct EventsAnswer {
  std::vector<StoreEvent> Events;
  /// True if the store no longer has all changes after the revision asked for,
  /// so that the watcher must list again.
  bool Compacted = false;
};

/// The store refused the call before it took effect, as over its rate limit.
struct RefusedAnswer {
  Duration RetryAfter{};
};

/// The store could not be reached or did not answer in time. Whether the call
/// took effect is unknown.
struct UnavailableAnswer {};

using StoreResult =
    std::variant<EntryAnswer, WrittenAnswer, ConflictAnswer, EntriesAnswer,
                 LeaseAnswer, LeaseGoneAnswer, EventsAnswer, RefusedAnswer,
                 UnavailableAnswer>;

/// A result with the store's revision when it was formed. The revision means
/// nothing beside RefusedAnswer and UnavailableAnswer.
struct StoreAnswer {
  StoreRevision Revision;
  StoreResult Result;
};

} // namespace banyanworks

#endif
