/// \file
/// Defines StoreOperations, which runs the store client of the state core: it
/// sends the client's calls and hands each operation's outcome back.
#ifndef BANYANWORKS_DAEMON_STOREOPERATIONS_H
#define BANYANWORKS_DAEMON_STOREOPERATIONS_H

#include "state/StoreClient.h"

#include <functional>
#include <map>
#include <mutex>

namespace banyanworks {

class Executor;
class StoreLink;

/// Carries operations to the store. May be used from several threads.
class StoreOperations {
public:
  using Callback = std::function<void(const StoreOutcome &)>;

  StoreOperations(StoreLink &Store, Executor &Calls, std::uint64_t Seed);

  /// Starts an operation that ends within \p Limit; \p Ended is called once,
  /// from another thread, without any lock held.
  void submit(StoreRequest Request, Duration Timeout, Callback OnOutcome);

  /// As submit(), but blocks for the outcome.
  StoreOutcome run(const StoreRequest &Request, Duration Timeout);

  /// Lets time-outs and retries happen.
  void tick();

  /// True while the store is taken to be unreachable.
  bool isUnreachable() const;

private:
  void advance();

  StoreLink &Store;
  Executor &Calls;
  mutable std::mutex Lock;
  StoreClient Client;
  std::map<StoreOperationId, Callback> PendingCallbacks;
};

} // namespace banyanworks

#endif
