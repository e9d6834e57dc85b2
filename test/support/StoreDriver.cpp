/// \file
/// Implements StoreDriver.
#include "support/StoreDriver.h"

#include "base/Check.h"

#include <utility>

namespace banyanworks::testing {

std::vector<StoreOutcome> StoreDriver::step(TimePoint Now) {
  std::vector<StoreOutcome> Outcomes;
  for (;;) {
    bool Progress = false;
    for (FakeStoreAnswer &Answer : Store.takeAnswers(Now, ClientNumber)) {
      auto Found = SentCalls.find(Answer.Call);
      if (Found == SentCalls.end())
        continue;
      Client.handleAnswer(Found->second, Answer.Answer, Now);
      SentCalls.erase(Found);
      Progress = true;
    }
    StoreClientActions Actions = Client.poll(Now);
    for (StoreCall &Call : Actions.Calls) {
      SentCalls[Store.call(std::move(Call.Request), Now, ClientNumber)] =
          Call.Call;
      Progress = true;
    }
    for (StoreOutcome &Outcome : Actions.Outcomes)
      Outcomes.push_back(std::move(Outcome));
    if (!Progress)
      return Outcomes;
  }
}

StoreOutcome StoreDriver::run(StoreRequest Request, TimePoint &Now,
                              Duration Timeout) {
  constexpr Duration Step = std::chrono::milliseconds(1);
  StoreOperationId Id = Client.submit(std::move(Request), Now, Now + Timeout);
  for (TimePoint End = Now + Timeout * 2; Now < End; Now += Step) {
    for (StoreOutcome &Outcome : step(Now)) {
      if (Outcome.Operation == Id)
        return std::move(Outcome);
    }
  }
  BANYANWORKS_CHECK(false, "store operation did not end by its deadline");
}

} // namespace banyanworks::testing
