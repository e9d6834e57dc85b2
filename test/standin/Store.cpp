/// \file
/// Implements the store role: serves FakeStore over HTTP and injects faults on
/// admin calls.
#include "edge/HttpServer.h"
#include "edge/StoreJson.h"
#include "standin/Roles.h"
#include "support/FakeStore.h"

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace banyanworks::standin {

namespace {

using nlohmann::json;
using testing::FakeStore;
using testing::FaultRule;
using testing::StoreFault;

constexpr std::uint64_t MaxBody = 4 << 20;
/// A call whose answer was dropped by a fault fails after this time.
constexpr auto LostAnswerTimeout = std::chrono::seconds(30);
constexpr auto MaxWait = std::chrono::milliseconds(100);

const std::map<std::string, StoreFault> FaultNames = {
    {"fail", StoreFault::Fail},
    {"drop_call", StoreFault::DropCall},
    {"fail_after_applying", StoreFault::FailAfterApplying},
    {"lose_answer", StoreFault::LoseAnswer},
    {"stall", StoreFault::Stall},
    {"rate_limit", StoreFault::RateLimit},
    {"stale", StoreFault::Stale},
    {"drop_events", StoreFault::DropEvents},
};

FaultRule parseRule(const json &In) {
  FaultRule Rule;
  Rule.Fault = FaultNames.at(In.at("fault"));
  Rule.MaxCalls = In.value("calls", 0U);
  Rule.KeyPrefix = In.value("key_prefix", "");
  Rule.Probability = In.value("share", 1.0);
  Rule.Delay = std::chrono::milliseconds(In.value("delay_ms", 0));
  if (In.contains("for_ms"))
    Rule.Until = now() + std::chrono::milliseconds(In.at("for_ms"));
  return Rule;
}

/// Thread-safe wrapper of FakeStore: each HTTP handler waits for the answer to
/// its call, and one thread delivers the answers that are due.
class StoreServer {
public:
  explicit StoreServer(Duration Latency) { Store.setLatency(Latency); }

  HttpResponse serve(const HttpRequest &Request);
  HttpResponse addFault(const HttpRequest &Request);
  HttpResponse clearFaults();
  HttpResponse expireLeases();
  HttpResponse counters();

  /// Delivers answers until stop().
  void deliverAnswers();
  void stop();

private:
  std::mutex Lock;
  std::condition_variable Answered;
  std::condition_variable Called;
  FakeStore Store;
  std::map<StoreCallId, StoreAnswer> Answers;
  bool Stopping = false;
};

HttpResponse StoreServer::serve(const HttpRequest &Request) {
  Outcome<StoreRequest> Decoded = storeRequestFromJson(Request.Body);
  if (!Decoded)
    return {400, Decoded.error().Message, "text/plain", {}};
  std::unique_lock Guard(Lock);
  StoreCallId Call = Store.call(*std::move(Decoded), now());
  Called.notify_one();
  bool Arrived = Answered.wait_for(Guard, LostAnswerTimeout, [&] {
    return Stopping || Answers.contains(Call);
  });
  if (!Arrived || Stopping)
    return {503, "", "text/plain", {}};
  StoreAnswer Answer = std::move(Answers.at(Call));
  Answers.erase(Call);
  Guard.unlock();
  if (std::holds_alternative<UnavailableAnswer>(Answer.Result))
    return {503, "", "text/plain", {}};
  return {200, storeAnswerToJson(Answer), "application/json", {}};
}

void StoreServer::deliverAnswers() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    for (auto &[Call, Answer] : Store.takeAnswers(now()))
      Answers.emplace(Call, std::move(Answer));
    Answered.notify_all();
    Duration Wait = MaxWait;
    if (std::optional<TimePoint> Due = Store.nextDue())
      Wait = std::clamp<Duration>(*Due - now(), Duration(0), MaxWait);
    Called.wait_for(Guard, Wait);
  }
}

void StoreServer::stop() {
  std::lock_guard Guard(Lock);
  Stopping = true;
  Answered.notify_all();
  Called.notify_all();
}

HttpResponse StoreServer::addFault(const HttpRequest &Request) {
  FaultRule Rule = parseRule(json::parse(Request.Body));
  std::lock_guard Guard(Lock);
  Store.addFault(Rule);
  return {204, "", "text/plain", {}};
}

HttpResponse StoreServer::clearFaults() {
  std::lock_guard Guard(Lock);
  Store.clearFaults();
  return {204, "", "text/plain", {}};
}

HttpResponse StoreServer::expireLeases() {
  std::lock_guard Guard(Lock);
  Store.expireAllLeases(now());
  return {204, "", "text/plain", {}};
}

HttpResponse StoreServer::counters() {
  std::lock_guard Guard(Lock);
  const testing::FakeStoreCounters &Counters = Store.counters();
  json Out = {{"calls", Counters.Calls},     {"reads", Counters.Reads},
              {"writes", Counters.Writes},   {"leases", Counters.Leases},
              {"watches", Counters.Watches}, {"refused", Counters.Refused},
              {"struck", Counters.Injected}};
  for (const auto &[Key, Entry] : Store.entries())
    Out["keys"].push_back(Key);
  return {200, Out.dump(), "application/json", {}};
}

int runStore(const std::string &Listen, std::int64_t LatencyUs) {
  StoreServer Server{Duration(LatencyUs)};
  HttpServer Http;
  Http.route("POST", "/store",
             [&](const HttpRequest &R) { return Server.serve(R); });
  Http.route("POST", "/admin/faults",
             [&](const HttpRequest &R) { return Server.addFault(R); });
  Http.route("DELETE", "/admin/faults",
             [&](const HttpRequest &) { return Server.clearFaults(); });
  Http.route("POST", "/admin/expire-leases",
             [&](const HttpRequest &) { return Server.expireLeases(); });
  Http.route("GET", "/admin/counters",
             [&](const HttpRequest &) { return Server.counters(); });
  Outcome<void> Started = Http.start(Listen, MaxBody);
  if (!Started) {
    std::cerr << Started.error().Message << '\n';
    return 1;
  }
  std::thread Pump([&] { Server.deliverAnswers(); });
  waitForSignal();
  Server.stop();
  Pump.join();
  Http.stop();
  return 0;
}

} // namespace

void addStoreRole(CLI::App &Program) {
  CLI::App *Role =
      Program.add_subcommand("store", "key-value store of the platform");
  auto Listen = std::make_shared<std::string>("127.0.0.1:7000");
  auto LatencyUs = std::make_shared<std::int64_t>(1000);
  Role->add_option("--listen", *Listen, "host:port")->capture_default_str();
  Role->add_option("--latency-us", *LatencyUs,
                   "delay of each answer in microseconds")
      ->capture_default_str();
  Role->final_callback([=] {
    if (int Code = runStore(*Listen, *LatencyUs))
      throw CLI::RuntimeError(Code);
  });
}

} // namespace banyanworks::standin
