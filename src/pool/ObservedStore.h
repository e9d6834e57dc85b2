/// \file
/// Defines ObservedStore, which passes calls to a store on and reports their
/// ends to a StoreHealth.
#ifndef BANYANWORKS_POOL_OBSERVEDSTORE_H
#define BANYANWORKS_POOL_OBSERVEDSTORE_H

#include "state/AsyncStore.h"

namespace banyanworks {
class Timers;
} // namespace banyanworks

namespace banyanworks::pool {

class StoreHealth;

class ObservedStore : public AsyncStore {
public:
  ObservedStore(AsyncStore &Store, Timers &Clock, StoreHealth &Health)
      : Store(Store), Clock(Clock), Health(Health) {}

  void list(const std::string &Prefix,
            std::function<void(ListResult)> Done) override;
  void read(const std::string &Key,
            std::function<void(ListResult)> Done) override;
  void watch(const WatchRequest &Request,
             std::function<void(WatchResult)> Done) override;
  void commit(const Transaction &Changes, Duration Timeout,
              std::function<void(TransactionResult)> Done) override;
  void grantLease(Duration TimeToLive,
                  std::function<void(LeaseResult)> Done) override;
  void renewLease(StoreLeaseId Lease,
                  std::function<void(LeaseResult)> Done) override;
  void endLease(StoreLeaseId Lease,
                std::function<void(LeaseResult)> Done) override;

private:
  /// Records a call that may take \p MaxWait at the store, and returns a
  /// callback that records its end and passes the result on.
  template <typename Result>
  std::function<void(Result)> observe(Duration MaxWait,
                                      std::function<void(Result)> Done);

  AsyncStore &Store;
  Timers &Clock;
  StoreHealth &Health;
};

} // namespace banyanworks::pool

#endif
