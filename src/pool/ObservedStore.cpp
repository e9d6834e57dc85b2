/// \file
/// Implements ObservedStore.
#include "pool/ObservedStore.h"

#include "base/Timers.h"
#include "pool/StoreHealth.h"

#include <utility>

namespace banyanworks::pool {

namespace {

/// Time that a list may take, as it consists of a call for each page.
constexpr Duration ListTime = std::chrono::seconds(1);

} // namespace

template <typename Result>
std::function<void(Result)>
ObservedStore::observe(Duration MaxWait, std::function<void(Result)> Done) {
  TimePoint Now = Clock.now();
  StoreHealth::CallNumber Number = Health.callSent(Now, Now + MaxWait);
  return [this, Number, Done = std::move(Done)](Result Answer) {
    Health.callEnded(Number,
                     Answer.Status == CallStatus::Done ||
                         Answer.Status == CallStatus::Rejected ||
                         Answer.Status == CallStatus::Invalid,
                     Clock.now());
    Done(std::move(Answer));
  };
}

void ObservedStore::list(const std::string &Prefix,
                         std::function<void(ListResult)> Done) {
  Store.list(Prefix, observe(ListTime, std::move(Done)));
}

void ObservedStore::read(const std::string &Key,
                         std::function<void(ListResult)> Done) {
  Store.read(Key, observe(Duration::zero(), std::move(Done)));
}

void ObservedStore::watch(const WatchRequest &Request,
                          std::function<void(WatchResult)> Done) {
  Store.watch(Request, observe(Request.MaxWait, std::move(Done)));
}

void ObservedStore::commit(const Transaction &Changes, Duration Timeout,
                           std::function<void(TransactionResult)> Done) {
  Store.commit(Changes, Timeout, observe(Duration::zero(), std::move(Done)));
}

void ObservedStore::grantLease(Duration TimeToLive,
                               std::function<void(LeaseResult)> Done) {
  Store.grantLease(TimeToLive, observe(Duration::zero(), std::move(Done)));
}

void ObservedStore::renewLease(StoreLeaseId Lease,
                               std::function<void(LeaseResult)> Done) {
  Store.renewLease(Lease, observe(Duration::zero(), std::move(Done)));
}

void ObservedStore::endLease(StoreLeaseId Lease,
                             std::function<void(LeaseResult)> Done) {
  Store.endLease(Lease, observe(Duration::zero(), std::move(Done)));
}

} // namespace banyanworks::pool
