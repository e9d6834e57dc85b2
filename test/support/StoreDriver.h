/// \file
/// Defines StoreDriver, which runs a StoreClient against a FakeStore in virtual
/// time.
#ifndef BANYANWORKS_TEST_SUPPORT_STOREDRIVER_H
#define BANYANWORKS_TEST_SUPPORT_STOREDRIVER_H

#include "state/StoreClient.h"
#include "support/FakeStore.h"

#include <map>

namespace banyanworks::testing {

/// Moves calls, answers and time between one client and a store that may be
/// shared.
class StoreDriver {
public:
  /// \p Number tells the clients of one store apart.
  StoreDriver(FakeStore &Store, const StoreClientOptions &Options = {},
              std::uint32_t ClientNumber = 1)
      : Store(Store), ClientNumber(ClientNumber),
        Client(Options, ClientNumber) {}

  /// Submits an operation and runs until it ends; returns its outcome. Moves
  /// \p Now on to when it ended.
  StoreOutcome run(StoreRequest Request, TimePoint &Now,
                   Duration Timeout = std::chrono::seconds(5));
  /// Sends what is due and takes the answers that have come.
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
