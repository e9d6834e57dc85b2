/// \file
/// Implements the endpoint role: endpoints with a number of slots and a fixed
/// service time, which echo the request body with the path and the number of
/// runs of the request's key.
#include "edge/HttpServer.h"
#include "standin/Roles.h"

#include <condition_variable>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace banyanworks::standin {

namespace {

using nlohmann::json;

constexpr std::uint64_t MaxBody = 4 << 20;

struct EndpointSettings {
  std::vector<std::string> Listen;
  std::uint32_t Slots = 8;
  std::int64_t ServiceTimeUs = 2000;
};

/// One endpoint. Requests wait while all slots are in use.
class EndpointServer {
public:
  EndpointServer(std::string Address, const EndpointSettings &Settings)
      : Address(std::move(Address)), FreeSlots(Settings.Slots),
        ServiceTime(Settings.ServiceTimeUs) {}

  bool start();
  void stop() { Http.stop(); }

private:
  HttpResponse serve(const HttpRequest &Request);
  HttpResponse updateSettings(const HttpRequest &Request);
  HttpResponse counts();

  std::string Address;
  HttpServer Http;
  std::mutex Lock;
  std::condition_variable SlotFreed;
  std::uint32_t FreeSlots;
  Duration ServiceTime;
  bool Draining = false;
  std::uint64_t Served = 0;
  /// The largest number of requests in progress at once, including waiting
  /// ones.
  std::uint32_t MaxInProgress = 0;
  std::uint32_t InProgress = 0;
  std::map<std::string, std::uint32_t> RunsOfKey;
};

HttpResponse EndpointServer::serve(const HttpRequest &Request) {
  std::unique_lock Guard(Lock);
  if (Draining)
    return {503, "draining", "text/plain", {{"x-not-run", "draining"}}};
  MaxInProgress = std::max(MaxInProgress, ++InProgress);
  SlotFreed.wait(Guard, [this] { return FreeSlots > 0; });
  --FreeSlots;
  ++Served;
  std::string Key = Request.header("idempotency-key");
  std::uint32_t Runs = Key.empty() ? 1 : ++RunsOfKey[Key];
  Duration Delay = ServiceTime;
  Guard.unlock();
  std::this_thread::sleep_for(Delay);
  Guard.lock();
  ++FreeSlots;
  --InProgress;
  SlotFreed.notify_one();
  Guard.unlock();
  json Out = {{"endpoint", Address},
              {"path", Request.Path},
              {"runs", Runs},
              {"echo", Request.Body}};
  return {200,
          Out.dump(),
          "application/json",
          {{"x-attempt-id", Request.header("x-attempt-id")}}};
}

HttpResponse EndpointServer::updateSettings(const HttpRequest &Request) {
  json In = json::parse(Request.Body);
  std::lock_guard Guard(Lock);
  Draining = In.value("draining", Draining);
  ServiceTime = Duration(In.value("service_time_us", ServiceTime.count()));
  return {204, "", "text/plain", {}};
}

HttpResponse EndpointServer::counts() {
  std::lock_guard Guard(Lock);
  std::uint32_t Repeated = 0;
  for (const auto &[Key, Runs] : RunsOfKey)
    Repeated += Runs > 1 ? 1 : 0;
  json Out = {{"served", Served},
              {"present", InProgress},
              {"most_present", MaxInProgress},
              {"keys", RunsOfKey.size()},
              {"keys_run_twice", Repeated}};
  return {200, Out.dump(), "application/json", {}};
}

bool EndpointServer::start() {
  Http.route("POST", "/call/:service/:method",
             [this](const HttpRequest &R) { return serve(R); });
  Http.route("POST", "/admin/settings",
             [this](const HttpRequest &R) { return updateSettings(R); });
  Http.route("GET", "/admin/counts",
             [this](const HttpRequest &) { return counts(); });
  Outcome<void> Started = Http.start(Address, MaxBody);
  if (!Started)
    std::cerr << Started.error().Message << '\n';
  return Started.has_value();
}

int runEndpoints(const EndpointSettings &Settings) {
  std::deque<EndpointServer> Servers;
  for (const std::string &Address : Settings.Listen)
    if (!Servers.emplace_back(Address, Settings).start())
      return 1;
  waitForSignal();
  for (EndpointServer &Server : Servers)
    Server.stop();
  return 0;
}

} // namespace

void addEndpointRole(CLI::App &Program) {
  CLI::App *Role = Program.add_subcommand("endpoint", "endpoints of a service");
  auto Settings = std::make_shared<EndpointSettings>();
  Role->add_option("--listen", Settings->Listen,
                   "host:port to listen on; repeat for each endpoint")
      ->required();
  Role->add_option("--slots", Settings->Slots, "requests served at once")
      ->capture_default_str();
  Role->add_option("--service-time-us", Settings->ServiceTimeUs,
                   "service time of a request in microseconds")
      ->capture_default_str();
  Role->final_callback([=] {
    if (int Code = runEndpoints(*Settings))
      throw CLI::RuntimeError(Code);
  });
}

} // namespace banyanworks::standin
