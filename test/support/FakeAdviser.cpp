/// \file
/// Implements FakeAdviser.
#include "support/FakeAdviser.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

using namespace pool;

namespace {

/// Time after which a request to an unresponsive adviser fails.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(800);

} // namespace

void FakeAdviser::ask(const AdviceRequest &Request,
                      std::function<void(AdviceResponse)> Done) {
  ++RequestCount;
  MaxConcurrent = std::max(MaxConcurrent, ++InFlight);
  if (Unresponsive) {
    Clock.scheduleAfter(AnswerTimeout, [this, Done = std::move(Done)] {
      --InFlight;
      Done(AdviceResponse());
    });
    return;
  }
  Clock.scheduleAfter(
      Request.ExpectedTime, [this, Request, Done = std::move(Done)] {
        AdviceResponse Response;
        Response.Answered = true;
        Response.Validity = Validity;
        for (const auto &Entry : Request.Workers) {
          if (!Allows(Entry.first))
            continue;
          std::string Text = "ticket-" + std::to_string(Tickets.size() + 1);
          Tickets[Text] = {Request.Step, Entry.first, Clock.now() + Validity};
          Response.Allowed.emplace_back(Entry.first, Text);
        }
        --InFlight;
        Done(Response);
      });
}

bool FakeAdviser::accepts(const StartOrder &Order) const {
  auto Found = Tickets.find(Order.Ticket);
  if (Found == Tickets.end())
    return false;
  const IssuedTicket &Ticket = Found->second;
  return Ticket.Worker == Order.Worker && Clock.now() < Ticket.ExpiresAt &&
         Ticket.Step ==
             StepKey{Order.Task.Job, Order.Task.Occurrence, Order.Task.Step};
}

} // namespace banyanworks::testing
