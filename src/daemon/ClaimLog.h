/// \file
/// Defines ClaimLog, which reads and writes the store records of the claims of
/// non-repeatable requests.
#ifndef BANYANWORKS_DAEMON_CLAIMLOG_H
#define BANYANWORKS_DAEMON_CLAIMLOG_H

#include "requests/RequestEvents.h"
#include "state/Store.h"

#include <mutex>
#include <optional>

namespace banyanworks {

class StoreLink;

/// Reads and writes the claim records of services. All calls block. May be used
/// from several threads.
class ClaimLog {
public:
  explicit ClaimLog(StoreLink &Store) : Store(Store) {}

  /// Creates the record of a batch unless a record with its number exists.
  /// Gives Unavailable, without writing, if no store lease was granted or the
  /// action is no longer valid.
  ClaimAnswered record(const ServiceId &Service, const RecordClaims &Action);
  /// Writes the head record if the store holds its expected version.
  ClaimLogOpened open(const ServiceId &Service, const OpenClaimLog &Action);
  /// Reads the head, then the records from number Action.From; 0 reads all of
  /// them. The result is incomplete if the store failed or a record cannot be
  /// decoded.
  ClaimsLoaded load(const ServiceId &Service, const LoadClaims &Action);

private:
  bool listBatches(const ServiceId &Service, std::vector<ClaimBatch> &Batches);
  bool readBatchesFrom(const ServiceId &Service, std::uint64_t FirstNumber,
                       std::vector<ClaimBatch> &Batches);
  static bool appendBatch(const StoreEntry &Entry,
                          std::vector<ClaimBatch> &Batches);
  /// Returns a lease that keeps a record for at least \p TimeToLive, or nothing
  /// if the store grants none.
  std::optional<StoreLeaseId> acquireLease(Duration TimeToLive);

  StoreLink &Store;
  std::mutex Lock;
  StoreLeaseId Lease;
  /// The end of the time in which new records may use the lease.
  TimePoint LeaseUsableUntil;
};

} // namespace banyanworks

#endif
