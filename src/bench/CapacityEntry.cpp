/// \file
/// Defines the series of a daemon as the entry for requests: processor time of
/// a request and memory of the requests that are open.
#include "bench/CapacitySeries.h"
#include "kernel/Registry.h"
#include "model/Configuration.h"
#include "requests/RequestRouter.h"

#include <memory>

namespace banyanworks::bench {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double BytesPerKiB = 1024;
constexpr std::uint32_t EndpointsPerService = 48;
constexpr std::uint32_t MeasuredRequests = 20'000;
const ServiceId TheService("service");
const WorkspaceId TheWorkspace("workspace");
const MethodId Read("read");
const DomainId Domain("domain-1");

std::shared_ptr<const Configuration> configuration(std::uint32_t Endpoints) {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigVersion(1);
  Config->Domains[Domain].Id = Domain;
  Config->Workspaces[TheWorkspace].Id = TheWorkspace;
  Service &Item = Config->Services[TheService];
  Item.Id = TheService;
  Item.Workspace = TheWorkspace;
  Item.Methods[Read].Id = Read;
  Item.Methods[Read].Repeatable = true;
  Item.Methods[Read].Deadline = std::chrono::seconds(60);
  for (std::uint32_t I = 0; I < Endpoints; ++I) {
    Endpoint Place;
    Place.Id = EndpointId("endpoint-" + std::to_string(I));
    Place.Domain = Domain;
    Place.Address = "127.0.0.1:" + std::to_string(10'000 + I);
    Item.Endpoints[Place.Id] = Place;
  }
  return Config;
}

/// One router alone, whose endpoints answer when they are told to.
class LoneRouter {
public:
  explicit LoneRouter(std::uint32_t Endpoints) : Router(settings()) {
    Router.handle(Now, ConfigurationChanged{configuration(Endpoints)});
    Router.handle(Now, PeersChanged{});
    for (int I = 0; I < 100; ++I)
      advance(std::chrono::milliseconds(100));
  }

  void advance(Duration Span) {
    Now += Span;
    keep(Router.handle(Now, Tick{}));
  }

  void arrive() {
    RequestArrived Event;
    Event.Request = RequestId(++LastRequest);
    Event.Workspace = TheWorkspace;
    Event.Service = TheService;
    Event.Method = Read;
    Event.Deadline = Now + std::chrono::seconds(60);
    keep(Router.handle(Now, Event));
  }

  /// Answers all attempts that are out.
  void answerAll() {
    std::vector<AttemptId> Due;
    Due.swap(Open);
    for (AttemptId Attempt : Due)
      keep(
          Router.handle(Now, AttemptEnded{Attempt, AttemptEnd::Answered, 200}));
  }

  std::uint64_t answered() const { return Answered; }

private:
  static RouterSettings settings() {
    RouterSettings Settings;
    Settings.Service = TheService;
    Settings.Self = DaemonId("127.0.0.1:9000");
    Settings.SelfIncarnation = Incarnation(1);
    Settings.Domain = Domain;
    Settings.Admission.MaxQueued = 1'000'000;
    return Settings;
  }

  void keep(const std::vector<RequestAction> &Actions) {
    for (const RequestAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendAttempt>(&Action))
        Open.push_back(Send->Attempt);
      const auto *Done = std::get_if<Answer>(&Action);
      if (Done && std::holds_alternative<CompleteAnswer>(Done->Result))
        ++Answered;
    }
  }

  RequestRouter Router;
  TimePoint Now{std::chrono::seconds(1000)};
  std::vector<AttemptId> Open;
  std::uint64_t LastRequest = 0;
  std::uint64_t Answered = 0;
};

class EntryRequestTime : public CapacitySeries {
public:
  std::string role() const override { return "entry for requests"; }
  std::string cost() const override {
    return "processor time of a request's decisions, us";
  }
  std::string size() const override { return "endpoints of the service"; }
  std::vector<double> sizes() const override { return {24, 48, 96, 192, 384}; }
  double targetSize() const override { return EndpointsPerService; }
  double measure(double Size, std::uint64_t) override {
    LoneRouter Router(static_cast<std::uint32_t>(Size));
    double Before = processorSeconds();
    std::uint64_t First = Router.answered();
    for (std::uint32_t I = 0; I < MeasuredRequests; ++I) {
      Router.arrive();
      if (I % 8 == 0) {
        Router.advance(std::chrono::milliseconds(8));
        Router.answerAll();
      }
    }
    Router.answerAll();
    double Spent = processorSeconds() - Before;
    std::uint64_t Done = Router.answered() - First;
    return Done == 0 ? -1 : Spent * MicrosPerSecond / static_cast<double>(Done);
  }
};

class EntryRequestMemory : public CapacitySeries {
public:
  std::string role() const override { return "entry for requests"; }
  std::string cost() const override { return "heap without bodies, KiB"; }
  std::string size() const override { return "open requests"; }
  std::vector<double> sizes() const override {
    return {500, 1000, 2000, 4000, 8000};
  }
  double targetSize() const override {
    constexpr double RunningRequests = EndpointsPerService * 8.0;
    std::size_t Queue = RouterSettings().Admission.MaxQueued;
    return RunningRequests + static_cast<double>(Queue);
  }
  double measure(double Size, std::uint64_t) override {
    double Before = heapBytes();
    LoneRouter Router(EndpointsPerService);
    for (std::uint32_t I = 0; I < static_cast<std::uint32_t>(Size); ++I)
      Router.arrive();
    return (heapBytes() - Before) / BytesPerKiB;
  }
};

using Registration = Registry<CapacitySeries>::Registration;

const Registration RequestTime("entry-request", [] {
  return std::make_unique<EntryRequestTime>();
});
const Registration RequestMemory("entry-memory", [] {
  return std::make_unique<EntryRequestMemory>();
});

} // namespace

} // namespace banyanworks::bench
