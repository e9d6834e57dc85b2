/// \file
/// Implements ClaimLog.
#include "daemon/ClaimLog.h"

#include "daemon/StoreLink.h"
#include "edge/Log.h"
#include "edge/PeerMessageJson.h"
#include "edge/SteadyClock.h"

#include <algorithm>

namespace banyanworks {

namespace {

constexpr std::size_t BatchNumberDigits = 20;
/// Records written within 1/LeaseReuseDivisor of their time to live share one
/// store lease.
constexpr int LeaseReuseDivisor = 8;

std::string headKey(const ServiceId &Service) {
  return "claim-heads/" + Service.str();
}

std::string recordPrefix(const ServiceId &Service) {
  return "claims/" + Service.str() + "/";
}

/// Pads the batch number with zeros, so that the store lists the records in
/// order.
std::string recordKey(const ServiceId &Service, std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  return recordPrefix(Service) +
         std::string(BatchNumberDigits - Digits.size(), '0') + Digits;
}

struct ClaimWriteVisitor {
  ClaimWrite operator()(const WrittenAnswer &) const {
    return ClaimWrite::Done;
  }
  ClaimWrite operator()(const ConflictAnswer &) const {
    return ClaimWrite::Conflict;
  }
  ClaimWrite operator()(const LeaseGoneAnswer &) const {
    return ClaimWrite::Unavailable;
  }
  ClaimWrite operator()(const RefusedAnswer &) const {
    return ClaimWrite::Unavailable;
  }
  template <typename Other> ClaimWrite operator()(const Other &) const {
    return ClaimWrite::Unknown;
  }
};

} // namespace

std::optional<StoreLeaseId> ClaimLog::acquireLease(Duration TimeToLive) {
  std::lock_guard Guard(Lock);
  TimePoint Now = steadyNow();
  if (Now < LeaseUsableUntil)
    return Lease;
  Duration LeaseDuration = TimeToLive + TimeToLive / LeaseReuseDivisor;
  StoreAnswer Answer = Store.call(LeaseGrantRequest{LeaseDuration});
  auto *GrantedLease = std::get_if<LeaseAnswer>(&Answer.Result);
  if (!GrantedLease)
    return std::nullopt;
  Lease = GrantedLease->Lease;
  LeaseUsableUntil = Now + TimeToLive / LeaseReuseDivisor;
  return Lease;
}

ClaimAnswered ClaimLog::record(const ServiceId &Service,
                               const RecordClaims &Action) {
  ClaimAnswered Result;
  Result.Number = Action.Batch.Number;
  Result.Writer = Action.Batch.Writer;
  Result.Result = ClaimWrite::Unavailable;
  std::optional<StoreLeaseId> RecordLease = acquireLease(Action.TimeToLive);
  if (!RecordLease || steadyNow() >= Action.ValidUntil)
    return Result;
  StoreAnswer Answer = Store.call(PutRequest{
      recordKey(Service, Action.Batch.Number), claimBatchToJson(Action.Batch),
      StoreRevision(), *RecordLease});
  Result.Result = std::visit(ClaimWriteVisitor(), Answer.Result);
  return Result;
}

ClaimLogOpened ClaimLog::open(const ServiceId &Service,
                              const OpenClaimLog &Action) {
  ClaimLogOpened Result;
  Result.Writer = Action.Writer;
  Result.Result = ClaimWrite::Unavailable;
  if (steadyNow() >= Action.ValidUntil)
    return Result;
  StoreAnswer Answer = Store.call(
      PutRequest{headKey(Service), std::to_string(Action.Start),
                 StoreRevision(Action.ExpectedVersion), StoreLeaseId()});
  Result.Result = std::visit(ClaimWriteVisitor(), Answer.Result);
  return Result;
}

ClaimsLoaded ClaimLog::load(const ServiceId &Service,
                            const LoadClaims &Action) {
  ClaimsLoaded Result;
  Result.FirstNumber = Action.FirstNumber;
  StoreAnswer Answer = Store.call(GetRequest{headKey(Service)});
  auto *Head = std::get_if<EntryAnswer>(&Answer.Result);
  if (!Head)
    return Result;
  if (Head->Entry) {
    Result.HeadVersion = Head->Entry->Version.value();
    Result.HeadStart = std::strtoull(Head->Entry->Value.c_str(), nullptr, 10);
  }
  Result.Complete =
      Action.FirstNumber == 0
          ? listBatches(Service, Result.Batches)
          : readBatchesFrom(Service, Action.FirstNumber, Result.Batches);
  return Result;
}

/// Reads all batches with one list request.
bool ClaimLog::listBatches(const ServiceId &Service,
                           std::vector<ClaimBatch> &Batches) {
  StoreAnswer Answer = Store.call(ListRequest{recordPrefix(Service)});
  auto *Listed = std::get_if<EntriesAnswer>(&Answer.Result);
  if (!Listed)
    return false;
  for (const StoreEntry &Entry : Listed->Entries)
    if (!appendBatch(Entry, Batches))
      return false;
  return true;
}

/// Reads consecutive batches until one does not exist.
bool ClaimLog::readBatchesFrom(const ServiceId &Service,
                               std::uint64_t FirstNumber,
                               std::vector<ClaimBatch> &Batches) {
  for (std::uint64_t Number = FirstNumber;; ++Number) {
    StoreAnswer Answer = Store.call(GetRequest{recordKey(Service, Number)});
    auto *Found = std::get_if<EntryAnswer>(&Answer.Result);
    if (!Found)
      return false;
    if (!Found->Entry)
      return true;
    if (!appendBatch(*Found->Entry, Batches))
      return false;
  }
}

bool ClaimLog::appendBatch(const StoreEntry &Entry,
                           std::vector<ClaimBatch> &Batches) {
  Outcome<ClaimBatch> Batch = claimBatchFromJson(Entry.Value);
  if (!Batch) {
    logError("claim_record_unreadable", {{"key", Entry.Key}});
    return false;
  }
  Batches.push_back(*std::move(Batch));
  return true;
}

} // namespace banyanworks
