/// \file
/// Implements StoreOperations.
#include "daemon/StoreOperations.h"

#include "daemon/StoreLink.h"
#include "edge/Executor.h"
#include "edge/SteadyClock.h"

#include <future>
#include <utility>

namespace banyanworks {

StoreOperations::StoreOperations(StoreLink &Store, Executor &Calls,
                                 std::uint64_t Seed)
    : Store(Store), Calls(Calls), Client(StoreClientOptions(), Seed) {}

void StoreOperations::submit(StoreRequest Request, Duration Timeout,
                             Callback OnOutcome) {
  {
    std::lock_guard Guard(Lock);
    TimePoint Now = steadyNow();
    StoreOperationId Id = Client.submit(std::move(Request), Now, Now + Timeout);
    PendingCallbacks[Id] = std::move(OnOutcome);
  }
  // Runs on another thread, since the caller may hold locks that the callback
  // takes.
  Calls.run("store", [this] { advance(); });
}

StoreOutcome StoreOperations::run(const StoreRequest &Request,
                                  Duration Timeout) {
  auto Result = std::make_shared<std::promise<StoreOutcome>>();
  std::future<StoreOutcome> Future = Result->get_future();
  submit(Request, Timeout,
         [Result](const StoreOutcome &Outcome) { Result->set_value(Outcome); });
  return Future.get();
}

void StoreOperations::tick() { advance(); }

bool StoreOperations::isUnreachable() const {
  std::lock_guard Guard(Lock);
  return Client.isUnreachable();
}

/// Sends the calls that are due and invokes the callbacks of ended operations.
void StoreOperations::advance() {
  std::vector<std::pair<Callback, StoreOutcome>> Ended;
  {
    std::lock_guard Guard(Lock);
    StoreClientActions Due = Client.poll(steadyNow());
    for (StoreCall &Call : Due.Calls) {
      std::string Key = "store/" + std::to_string(Call.Call.value());
      Calls.run(Key, [this, Call = std::move(Call)] {
        StoreAnswer Answer = Store.call(Call.Request, Call.Timeout);
        {
          std::lock_guard Inner(Lock);
          Client.handleAnswer(Call.Call, Answer, steadyNow());
        }
        advance();
      });
    }
    for (StoreOutcome &Outcome : Due.Outcomes) {
      auto Found = PendingCallbacks.find(Outcome.Operation);
      if (Found == PendingCallbacks.end())
        continue;
      Ended.emplace_back(std::move(Found->second), std::move(Outcome));
      PendingCallbacks.erase(Found);
    }
  }
  for (auto &[Callback, Outcome] : Ended)
    Callback(Outcome);
}

} // namespace banyanworks
