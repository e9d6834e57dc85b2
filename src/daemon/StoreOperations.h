/// \file
/// Defines StoreOperations, which runs a StoreClient: sends its calls to the
/// store and passes each operation's outcome to a callback.
#ifndef BANYANWORKS_DAEMON_STOREOPERATIONS_H
#define BANYANWORKS_DAEMON_STOREOPERATIONS_H

#include "state/StoreClient.h"

#include <functional>
#include <map>
#include <mutex>

namespace banyanworks {

class Executor;
class StoreLink;

/// Runs store operations with time-outs and retries. May be used from several
/// threads.
class StoreOperations {
public:
  using Callback = std::function<void(const StoreOutcome &)>;

  StoreOperations(StoreLink &Store, Executor &Calls, std::uint64_t Seed);

  /// Starts an operation that ends within \p Timeout. \p OnOutcome is called
  /// once, from another thread, with no lock of this class held.
  void submit(StoreRequest Request, Duration Timeout, Callback OnOutcome);

  /// Like submit(), but blocks for the outcome.
  StoreOutcome run(const StoreRequest &Request, Duration Timeout);

  /// Processes time-outs and retries.
  void tick();

  /// True while the store is considered unreachable.
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
