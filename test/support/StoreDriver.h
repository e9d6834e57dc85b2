/// \file
/// Defines StoreDriver, which runs a StoreClient against a FakeStore in virtual
/// time.
#ifndef BANYANWORKS_TEST_SUPPORT_STOREDRIVER_H
#define BANYANWORKS_TEST_SUPPORT_STOREDRIVER_H

#include "state/StoreClient.h"
#include "support/FakeStore.h"

#include <map>

namespace banyanworks::testing {

/// Transfers calls and answers between one client and a store, which may have
/// other clients.
class StoreDriver {
public:
  /// \p ClientNumber must be unique among the clients of a store.
  StoreDriver(FakeStore &Store, const StoreClientOptions &Options = {},
              std::uint32_t ClientNumber = 1)
      : Store(Store), ClientNumber(ClientNumber),
        Client(Options, ClientNumber) {}

  /// Submits an operation and runs until it ends; returns its outcome. Advances
  /// \p Now to the time at which it ended.
  StoreOutcome run(StoreRequest Request, TimePoint &Now,
                   Duration Timeout = std::chrono::seconds(5));
  /// Sends the calls that are due, receives the answers that have arrived, and
  /// returns the outcomes of ended operations.
  std::vector<StoreOutcome> step(TimePoint Now);

  StoreClient &client() { return Client; }

private:
  FakeStore &Store;
  std::uint32_t ClientNumber;
  StoreClient Client;
  std::map<StoreCallId, StoreCallId> SentCalls;
};

} // namespace banyanworks::testing

#endif
