/// \file
/// Checks that an answer is delivered only to the request of its attempt, at
/// most once and only if complete.
#include "model/Configuration.h"
#include "requests/RequestRouter.h"

#include <criterion/criterion.h>

using namespace banyanworks;

namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};

RequestRouter routerWithOneEndpoint() {
  RequestRouter Router(
      {ServiceId("s"), DaemonId("d"), Incarnation(1), DomainId("a")});
  auto Config = std::make_shared<Configuration>();
  Config->Workspaces[WorkspaceId("w")] = {WorkspaceId("w"), {}, 1.0, {}};
  Service &Declared = Config->Services[ServiceId("s")];
  Declared.Id = ServiceId("s");
  Declared.Methods[MethodId("rank")] = {MethodId("rank"), true};
  Declared.Endpoints[EndpointId("e")] = {EndpointId("e"), DomainId("a"), "e:1"};
  Router.handle(Start, ConfigurationChanged{Config});
  return Router;
}

RequestArrived arrival(std::uint64_t Id) {
  RequestArrived Event;
  Event.Request = RequestId(Id);
  Event.Workspace = WorkspaceId("w");
  Event.Service = ServiceId("s");
  Event.Method = MethodId("rank");
  Event.Deadline = Start + std::chrono::seconds(5);
  return Event;
}

/// Returns the attempt that the actions start; 0 if none.
AttemptId startedAttempt(const std::vector<RequestAction> &Actions) {
  for (const RequestAction &Action : Actions)
    if (const auto *Send = std::get_if<SendAttempt>(&Action))
      return Send->Attempt;
  return AttemptId();
}

std::size_t countAnswers(const std::vector<RequestAction> &Actions) {
  std::size_t Count = 0;
  for (const RequestAction &Action : Actions)
    Count += std::holds_alternative<Answer>(Action);
  return Count;
}

} // namespace

Test(requests_answers, duplicate_answer_is_dropped) {
  RequestRouter Router = routerWithOneEndpoint();
  AttemptId Attempt = startedAttempt(Router.handle(Start, arrival(1)));
  AttemptEnded End{Attempt, AttemptEnd::Answered, 200};
  cr_assert_eq(countAnswers(Router.handle(Start, End)), 1);
  cr_assert_eq(countAnswers(Router.handle(Start, End)), 0);
}

Test(requests_answers, answer_after_caller_disconnect_is_dropped) {
  RequestRouter Router = routerWithOneEndpoint();
  AttemptId Attempt = startedAttempt(Router.handle(Start, arrival(1)));
  Router.handle(Start, CallerDisconnected{RequestId(1)});
  AttemptEnded End{Attempt, AttemptEnd::Answered, 200};
  cr_assert_eq(countAnswers(Router.handle(Start, End)), 0);
}

Test(requests_answers, truncated_answer_is_a_refusal) {
  RequestRouter Router = routerWithOneEndpoint();
  AttemptId Attempt = startedAttempt(Router.handle(Start, arrival(1)));
  auto Actions =
      Router.handle(Start, AttemptEnded{Attempt, AttemptEnd::Truncated, 200});
  for (const RequestAction &Action : Actions)
    if (const auto *Response = std::get_if<Answer>(&Action))
      cr_assert(!std::holds_alternative<CompleteAnswer>(Response->Result));
}

Test(requests_answers, shutdown_finishes_admitted_requests) {
  RequestRouter Router = routerWithOneEndpoint();
  AttemptId Attempt = startedAttempt(Router.handle(Start, arrival(1)));
  Router.handle(Start, Shutdown{});
  cr_assert_eq(startedAttempt(Router.handle(Start, arrival(2))), AttemptId());
  auto Actions =
      Router.handle(Start, AttemptEnded{Attempt, AttemptEnd::Answered, 200});
  cr_assert_eq(countAnswers(Actions), 1);
  cr_assert(std::holds_alternative<Drained>(Actions.back()));
}
