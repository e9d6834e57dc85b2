/// \file
/// Defines ClaimLog, the store records of the claims of requests that are not
/// repeatable.
#ifndef BANYANWORKS_DAEMON_CLAIMLOG_H
#define BANYANWORKS_DAEMON_CLAIMLOG_H

#include "requests/RequestEvents.h"
#include "state/Store.h"

#include <mutex>
#include <optional>

namespace banyanworks {

class StoreLink;

/// Reads and writes one service's claim records; its calls block.
class ClaimLog {
public:
  explicit ClaimLog(StoreLink &Store) : Store(Store) {}

  /// Creates the record of a batch if its number is free.
  ClaimAnswered record(const ServiceId &Service, const RecordClaims &Action);
  /// Writes the head record if it has the expected version.
  ClaimLogOpened open(const ServiceId &Service, const OpenClaimLog &Action);
  /// Reads the head, then the records from a number on.
  ClaimsLoaded load(const ServiceId &Service, const LoadClaims &Action);

private:
  bool listBatches(const ServiceId &Service, std::vector<ClaimBatch> &Batches);
  bool readBatchesFrom(const ServiceId &Service, std::uint64_t From,
                       std::vector<ClaimBatch> &Batches);
  static bool appendBatch(const StoreEntry &Entry,
                          std::vector<ClaimBatch> &Batches);
  /// A lease under which a record lives at least that long.
  std::optional<StoreLeaseId> acquireLease(Duration TimeToLive);

  StoreLink &Store;
  std::mutex Lock;
  StoreLeaseId Lease;
  /// New records may use the lease until then.
  TimePoint LeaseUsableUntil;
};

} // namespace banyanworks

#endif
