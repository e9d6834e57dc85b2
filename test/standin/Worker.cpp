/// \file
/// Implements the worker role: a number of FakeWorkers in one process that
/// report to the daemon that owns their failure domain.
#include "edge/HttpClient.h"
#include "edge/HttpServer.h"
#include "edge/WorkerJson.h"
#include "standin/Roles.h"
#include "support/FakeWorker.h"

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
using test::FakeWorker;
using test::FakeWorkerSettings;

constexpr std::uint64_t MaxBody = 4 << 20;
constexpr auto StepInterval = std::chrono::milliseconds(20);
constexpr Duration ReportTimeout = std::chrono::seconds(1);
constexpr unsigned StepThreads = 4;

struct WorkerRoleSettings {
  std::string Listen = "127.0.0.1:7200";
  std::string Domain;
  std::vector<std::string> Entries;
  std::uint32_t Count = 8;
  std::uint32_t PerRack = 8;
  std::int64_t Cores = 32;
  std::int64_t MemoryGiB = 128;
  std::int32_t Accelerators = 8;
  std::int64_t RunTimeMs = 0;
};

/// One worker with the state of its session and its unacknowledged reports.
struct HostedWorker {
  explicit HostedWorker(const WorkerInfo &Info,
                        const FakeWorkerSettings &Settings)
      : Model(Info, Settings) {}

  std::mutex Lock;
  FakeWorker Model;
  std::vector<TaskEnded> Ended;
  std::vector<UsageReported> Usage;
  bool InventoryRequested = true;
  bool Reporting = false;
  TimePoint NextReport;
  /// The daemon to report to while the owner is unknown, as an index into
  /// WorkerRoleSettings::Entries modulo its size.
  std::size_t EntryIndex = 0;
  std::string Owner;
};

FakeWorkerSettings modelSettings(const WorkerRoleSettings &Settings) {
  FakeWorkerSettings Result;
  Result.CheckpointTime = std::chrono::milliseconds(500);
  if (Settings.RunTimeMs > 0) {
    Duration RunTime = std::chrono::milliseconds(Settings.RunTimeMs);
    Result.RunTime = [RunTime](const TaskId &, const JobSpec &) {
      return RunTime;
    };
  }
  return Result;
}

/// Serves all workers of the process on one address.
class WorkerHost {
public:
  explicit WorkerHost(const WorkerRoleSettings &Settings);

  bool start();
  void stop();

private:
  HttpResponse order(const HttpRequest &Request);
  HttpResponse inventory(const HttpRequest &Request);
  HttpResponse tasks();
  HostedWorker *find(const WorkerId &Id);
  void run(unsigned LoopIndex);
  void step(HostedWorker &Worker);
  void sendReport(HostedWorker &Worker, const WorkerReport &Report);
  void handleReportAccepted(HostedWorker &Worker, const WorkerReport &Report);

  WorkerRoleSettings Settings;
  std::deque<HostedWorker> Workers;
  HttpServer Http;
  HttpClient Client;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Loops;
};

WorkerHost::WorkerHost(const WorkerRoleSettings &Settings)
    : Settings(Settings) {
  for (std::uint32_t Index = 0; Index < Settings.Count; ++Index) {
    std::uint32_t Rack = Index / Settings.PerRack;
    WorkerInfo Info;
    Info.Id = WorkerId(Settings.Domain + "-w" + std::to_string(Index));
    Info.Domain = DomainId(Settings.Domain);
    Info.Rack = RackId(Settings.Domain + "-r" + std::to_string(Rack));
    Info.RackNumber = Rack;
    Info.Capacity = {Settings.Cores * 1000, Settings.MemoryGiB * 1024,
                     Settings.Accelerators};
    Info.AcceleratorModel = "standard";
    Workers.emplace_back(Info, modelSettings(Settings));
  }
}

HostedWorker *WorkerHost::find(const WorkerId &Id) {
  for (HostedWorker &Worker : Workers)
    if (Worker.Model.info().Id == Id)
      return &Worker;
  return nullptr;
}

/// Passes an order to the model.
struct OrderVisitor {
  FakeWorker &Model;

  auto operator()(const HoldTask &O) const { return Model.hold(now(), O); }
  auto operator()(const StartTask &O) const { return Model.start(now(), O); }
  auto operator()(const ReleaseTask &O) const {
    return Model.release(now(), O);
  }
  auto operator()(const CheckpointTask &O) const {
    return Model.checkpoint(now(), O);
  }
  auto operator()(const StopTask &O) const { return Model.stop(now(), O); }
  auto operator()(const ThrottleTask &O) const {
    return Model.throttle(now(), O);
  }
  auto operator()(const ForgetTask &O) const { return Model.forget(now(), O); }
};

HttpResponse WorkerHost::order(const HttpRequest &Request) {
  Outcome<WorkerOrder> Order = workerOrderFromJson(Request.Body);
  if (!Order)
    return {400, Order.error().Message, "text/plain", {}};
  HostedWorker *Target = find(std::visit(
      [](const auto &O) -> const WorkerId & { return O.Worker; }, *Order));
  if (!Target)
    return {404, "no such worker", "text/plain", {}};
  std::lock_guard Guard(Target->Lock);
  std::optional<OrderResult> Result =
      std::visit(OrderVisitor{Target->Model}, *Order);
  if (!Result)
    return {503, "", "text/plain", {}};
  return {200, orderResultToJson(*Result), "application/json", {}};
}

HttpResponse WorkerHost::inventory(const HttpRequest &Request) {
  HostedWorker *Target = find(WorkerId(Request.variable("worker")));
  if (!Target)
    return {404, "no such worker", "text/plain", {}};
  std::lock_guard Guard(Target->Lock);
  return {200,
          inventoryToJson(Target->Model.inventory(now())),
          "application/json",
          {}};
}

HttpResponse WorkerHost::tasks() {
  json Out = json::array();
  for (HostedWorker &Worker : Workers) {
    std::lock_guard Guard(Worker.Lock);
    for (const auto &[Id, Task] : Worker.Model.tasks()) {
      Out.push_back({{"worker", Worker.Model.info().Id.str()},
                     {"job", std::to_string(Id.Job.value())},
                     {"run", Id.Run},
                     {"member", Id.Member},
                     {"running", Task.Held.Phase != TaskPhase::Held}});
    }
  }
  return {200, Out.dump(), "application/json", {}};
}

void WorkerHost::run(unsigned LoopIndex) {
  while (!Stopping) {
    for (std::size_t Index = LoopIndex; Index < Workers.size();
         Index += StepThreads)
      step(Workers[Index]);
    std::this_thread::sleep_for(StepInterval);
  }
}

/// Advances the model and sends a report when one is due.
void WorkerHost::step(HostedWorker &Worker) {
  WorkerReport Report;
  {
    std::lock_guard Guard(Worker.Lock);
    TimePoint Now = now();
    for (JobEvent &Event : Worker.Model.advance(Now)) {
      if (auto *Ended = std::get_if<TaskEnded>(&Event))
        Worker.Ended.push_back(*Ended);
      if (auto *Usage = std::get_if<UsageReported>(&Event))
        Worker.Usage.push_back(*Usage);
    }
    if (Worker.Ended.empty() && Now < Worker.NextReport)
      return;
    Report.Worker = Worker.Model.info().Id;
    Report.Session = Worker.Model.session();
    Report.Address = Settings.Listen;
    if (Worker.InventoryRequested)
      Report.Inventory = Worker.Model.inventory(Now);
    Report.Ended = Worker.Ended;
    Report.Usage = Worker.Usage;
    Worker.NextReport = Now + ReportTimeout;
  }
  sendReport(Worker, Report);
}

void WorkerHost::sendReport(HostedWorker &Worker, const WorkerReport &Report) {
  HttpCall Call;
  Call.Verb = "POST";
  Call.Address =
      Worker.Owner.empty()
          ? Settings.Entries[Worker.EntryIndex % Settings.Entries.size()]
          : Worker.Owner;
  Call.Path = "/worker/report";
  Call.Body = workerReportToJson(Report);
  Call.Timeout = ReportTimeout;
  HttpCallResult Answer = Client.call(Call);
  Outcome<ReportAnswer> Decoded = reportAnswerFromJson(Answer.Body);
  std::lock_guard Guard(Worker.Lock);
  if (Answer.succeeded() && Decoded && Decoded->Accepted) {
    handleReportAccepted(Worker, Report);
    // Reporting at 2/5 of the lease allows two reports to be lost before the
    // session expires.
    Worker.NextReport = now() + Decoded->Lease * 2 / 5;
    Worker.Owner = Call.Address;
    bool InventoryMissing = Decoded->InventoryWanted && !Report.Inventory;
    Worker.InventoryRequested = Decoded->InventoryWanted;
    if (InventoryMissing)
      Worker.NextReport = now();
    return;
  }
  // The domain has another owner or none; retry soon with the owner that the
  // daemon named, or else with the next entry.
  Worker.Owner = Answer.succeeded() && Decoded ? Decoded->OwnerAddress : "";
  if (Worker.Owner.empty())
    ++Worker.EntryIndex;
  Worker.InventoryRequested = true;
  Worker.NextReport = now() + std::chrono::milliseconds(200);
}

void WorkerHost::handleReportAccepted(HostedWorker &Worker,
                                      const WorkerReport &Report) {
  Worker.Model.renewSession(now());
  Worker.Ended.erase(Worker.Ended.begin(),
                     Worker.Ended.begin() +
                         static_cast<std::ptrdiff_t>(Report.Ended.size()));
  Worker.Usage.erase(Worker.Usage.begin(),
                     Worker.Usage.begin() +
                         static_cast<std::ptrdiff_t>(Report.Usage.size()));
}

bool WorkerHost::start() {
  Http.route("POST", "/orders",
             [this](const HttpRequest &R) { return order(R); });
  Http.route("GET", "/inventory/:worker",
             [this](const HttpRequest &R) { return inventory(R); });
  Http.route("GET", "/admin/tasks",
             [this](const HttpRequest &) { return tasks(); });
  Outcome<void> Started = Http.start(Settings.Listen, MaxBody);
  if (!Started) {
    std::cerr << Started.error().Message << '\n';
    return false;
  }
  for (unsigned LoopIndex = 0; LoopIndex < StepThreads; ++LoopIndex)
    Loops.emplace_back([this, LoopIndex] { run(LoopIndex); });
  return true;
}

void WorkerHost::stop() {
  Stopping = true;
  for (std::thread &Loop : Loops)
    Loop.join();
  Http.stop();
}

int runWorkers(const WorkerRoleSettings &Settings) {
  WorkerHost Host(Settings);
  if (!Host.start())
    return 1;
  waitForSignal();
  Host.stop();
  return 0;
}

} // namespace

void addWorkerRole(CLI::App &Program) {
  CLI::App *Role =
      Program.add_subcommand("worker", "workers of a failure domain");
  auto Settings = std::make_shared<WorkerRoleSettings>();
  Role->add_option("--listen", Settings->Listen, "host:port")
      ->capture_default_str();
  Role->add_option("--domain", Settings->Domain, "failure domain")->required();
  Role->add_option("--entry", Settings->Entries,
                   "internal address of a daemon to report to; may be repeated")
      ->required();
  Role->add_option("--count", Settings->Count, "workers")
      ->capture_default_str();
  Role->add_option("--per-rack", Settings->PerRack, "workers in a rack")
      ->capture_default_str();
  Role->add_option("--cores", Settings->Cores)->capture_default_str();
  Role->add_option("--memory-gib", Settings->MemoryGiB)->capture_default_str();
  Role->add_option("--accelerators", Settings->Accelerators)
      ->capture_default_str();
  Role->add_option("--run-time-ms", Settings->RunTimeMs,
                   "run time of each task in milliseconds; 0 selects the "
                   "declared run time")
      ->capture_default_str();
  Role->final_callback([=] {
    if (int Code = runWorkers(*Settings))
      throw CLI::RuntimeError(Code);
  });
}

} // namespace banyanworks::standin
