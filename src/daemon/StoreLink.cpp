/// \file
/// Implements StoreLink.
#include "daemon/StoreLink.h"

#include "edge/Metrics.h"
#include "edge/SteadyClock.h"

namespace banyanworks {

namespace {

constexpr Duration DefaultTimeout = std::chrono::seconds(2);

struct KindName {
  const char *operator()(const GetRequest &) const { return "get"; }
  const char *operator()(const PutRequest &) const { return "put"; }
  const char *operator()(const DeleteRequest &) const { return "delete"; }
  const char *operator()(const ListRequest &) const { return "list"; }
  const char *operator()(const LeaseGrantRequest &) const { return "grant"; }
  const char *operator()(const LeaseRenewRequest &) const { return "renew"; }
  const char *operator()(const LeaseRevokeRequest &) const { return "revoke"; }
  const char *operator()(const WatchRequest &) const { return "watch"; }
};

} // namespace

StoreLink::StoreLink(std::unique_ptr<StoreAdapter> Adapter, Metrics &Counters)
    : Adapter(std::move(Adapter)), Counters(Counters) {}

StoreAnswer StoreLink::call(const StoreRequest &Request, Duration Timeout) {
  TimePoint Begin = steadyNow();
  StoreAnswer Answer = Adapter->call(Request, Timeout);
  Available = !std::holds_alternative<UnavailableAnswer>(Answer.Result);
  Counters.recordStoreCall(std::visit(KindName(), Request),
                           Available ? StoreCallEnd::Answered
                                     : StoreCallEnd::Unavailable,
                           steadyNow() - Begin);
  return Answer;
}

StoreAnswer StoreLink::call(const StoreRequest &Request) {
  return call(Request, DefaultTimeout);
}

bool StoreLink::available() const { return Available; }

} // namespace banyanworks
