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

void StoreOperations::submit(StoreRequest Request, Duration Limit,
                             Callback Ended) {
  {
    std::lock_guard Guard(Lock);
    TimePoint Now = steadyNow();
    StoreOperationId Id = Client.submit(std::move(Request), Now, Now + Limit);
    Waiting[Id] = std::move(Ended);
  }
  // On another thread, since the caller may hold locks of its own.
  Calls.run("store", [this] { advance(); });
}

StoreOutcome StoreOperations::run(const StoreRequest &Request, Duration Limit) {
  auto Result = std::make_shared<std::promise<StoreOutcome>>();
  std::future<StoreOutcome> Taken = Result->get_future();
  submit(Request, Limit,
         [Result](const StoreOutcome &Outcome) { Result->set_value(Outcome); });
  return Taken.get();
}

void StoreOperations::tick() { advance(); }

bool StoreOperations::unreachable() const {
  std::lock_guard Guard(Lock);
  return Client.isUnreachable();
}

/// Sends what is due and hands out what ended.
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
      auto Found = Waiting.find(Outcome.Operation);
      if (Found == Waiting.end())
        continue;
      Ended.emplace_back(std::move(Found->second), std::move(Outcome));
      Waiting.erase(Found);
    }
  }
  for (auto &[Callback, Outcome] : Ended)
    Callback(Outcome);
}

} // namespace banyanworks
