/// \file
/// Implements the driver of a client against the stand-in store.
#include "support/StoreDriver.h"

#include "base/Check.h"

#include <utility>

namespace banyanworks::testing {

std::vector<StoreOutcome> StoreDriver::step(TimePoint Now) {
  std::vector<StoreOutcome> Outcomes;
  for (;;) {
    bool Moved = false;
    for (FakeStoreAnswer &Answer : Store.takeAnswers(Now, Number)) {
      auto Found = Sent.find(Answer.Call);
      if (Found == Sent.end())
        continue;
      Client.handleAnswer(Found->second, Answer.Answer, Now);
      Sent.erase(Found);
      Moved = true;
    }
    StoreClientActions Actions = Client.poll(Now);
    for (StoreCall &Call : Actions.Calls) {
      Sent[Store.call(std::move(Call.Request), Now, Number)] = Call.Call;
      Moved = true;
    }
    for (StoreOutcome &Outcome : Actions.Outcomes)
      Outcomes.push_back(std::move(Outcome));
    if (!Moved)
      return Outcomes;
  }
}

StoreOutcome StoreDriver::run(StoreRequest Request, TimePoint &Now,
                              Duration Limit) {
  constexpr Duration Step = std::chrono::milliseconds(1);
  StoreOperationId Id = Client.submit(std::move(Request), Now, Now + Limit);
  for (TimePoint End = Now + Limit * 2; Now < End; Now += Step) {
    for (StoreOutcome &Outcome : step(Now)) {
      if (Outcome.Operation == Id)
        return std::move(Outcome);
    }
  }
  BANYANWORKS_CHECK(false, "an operation must end by its deadline");
}

} // namespace banyanworks::testing
