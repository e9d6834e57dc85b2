/// \file
/// Implements the two request planes.
#include "support/RequestPlane.h"

#include "model/Configuration.h"

#include <algorithm>
#include <map>

namespace banyanworks {

namespace {

class RouterPlane : public RequestPlane {
public:
  explicit RouterPlane(const RouterSettings &Settings) : Router(Settings) {}
  std::vector<RequestAction> handle(TimePoint Now,
                                    const RequestEvent &Event) override {
    return Router.handle(Now, Event);
  }
  std::optional<TimePoint> nextDeadline() const override {
    return Router.nextDeadline();
  }

private:
  RequestRouter Router;
};

class RoundRobinPlane : public RequestPlane {
public:
  explicit RoundRobinPlane(const RouterSettings &Settings)
      : Settings(Settings) {}

  std::vector<RequestAction> handle(TimePoint Now,
                                    const RequestEvent &Event) override {
    Actions.clear();
    if (const auto *Arrived = std::get_if<RequestArrived>(&Event))
      send(Open[Arrived->Request] = {*Arrived, 0, AttemptId()});
    if (const auto *Ended = std::get_if<AttemptEnded>(&Event))
      onEnd(*Ended);
    if (const auto *Changed = std::get_if<ConfigurationChanged>(&Event))
      takeEndpoints(*Changed->Config);
    expire(Now);
    return std::move(Actions);
  }

  std::optional<TimePoint> nextDeadline() const override {
    std::optional<TimePoint> Next;
    for (const auto &[Id, Value] : Open)
      Next = std::min(Next.value_or(Value.Arrival.Deadline),
                      Value.Arrival.Deadline);
    return Next;
  }

private:
  static constexpr std::uint32_t MaxRetries = 3;

  struct Pending {
    RequestArrived Arrival;
    std::uint32_t Retries = 0;
    AttemptId Attempt;
  };

  void takeEndpoints(const Configuration &Config) {
    Endpoints.clear();
    for (const auto &[Id, Value] :
         Config.Services.at(Settings.Service).Endpoints)
      Endpoints.push_back(Value);
  }

  void send(Pending &Value) {
    LastAttempt = LastAttempt.next();
    Value.Attempt = LastAttempt;
    RequestsByAttempt[LastAttempt] = Value.Arrival.Request;
    const Endpoint &Target = Endpoints[Turn++ % Endpoints.size()];
    Actions.push_back(SendAttempt{Value.Arrival.Request, LastAttempt, Target.Id,
                                  Target.Address, Value.Arrival.Deadline});
  }

  void onEnd(const AttemptEnded &Event) {
    auto Found = RequestsByAttempt.find(Event.Attempt);
    if (Found == RequestsByAttempt.end())
      return;
    RequestId Id = Found->second;
    RequestsByAttempt.erase(Found);
    Pending &Value = Open.at(Id);
    if (Event.Result == AttemptEnd::Answered && Event.Status < 500)
      return finish(Id, CompleteAnswer{Event.Attempt, Event.Status});
    if (Value.Retries++ < MaxRetries)
      return send(Value);
    // The refusal reports only the last failure, even if an earlier attempt may
    // have run.
    bool Refused = Event.Result == AttemptEnd::NotSent ||
                   Event.Result == AttemptEnd::RefusedBusy ||
                   Event.Result == AttemptEnd::RefusedDraining;
    finish(Id, Refusal{Refused ? Reason::EndpointUnreachable
                               : Reason::EndpointFailed,
                       Duration::zero()});
  }

  void
  finish(RequestId Id,
         const std::variant<CompleteAnswer, RetainedAnswer, Refusal> &End) {
    RequestsByAttempt.erase(Open.at(Id).Attempt);
    Open.erase(Id);
    Actions.push_back(Answer{Id, End});
  }

  void expire(TimePoint Now) {
    std::vector<RequestId> Expired;
    for (const auto &[Id, Value] : Open)
      if (Value.Arrival.Deadline <= Now)
        Expired.push_back(Id);
    for (RequestId Id : Expired)
      finish(Id, Refusal{Reason::DeadlineExceeded, Duration::zero()});
  }

  RouterSettings Settings;
  std::vector<Endpoint> Endpoints;
  std::size_t Turn = 0;
  AttemptId LastAttempt;
  std::map<RequestId, Pending> Open;
  std::map<AttemptId, RequestId> RequestsByAttempt;
  std::vector<RequestAction> Actions;
};

} // namespace

std::unique_ptr<RequestPlane> makeRouterPlane(const RouterSettings &Settings) {
  return std::make_unique<RouterPlane>(Settings);
}

std::unique_ptr<RequestPlane>
makeRoundRobinPlane(const RouterSettings &Settings) {
  return std::make_unique<RoundRobinPlane>(Settings);
}

} // namespace banyanworks
