/// \file
/// Registers the benchmark "pool-load": what a turn of the pool's scheduler
/// costs on a full pool.
#include "base/DecisionLog.h"
#include "bench/BenchCommand.h"
#include "kernel/Registry.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <CLI/CLI.hpp>

namespace banyanworks::bench {

namespace {

using namespace std::chrono_literals;
using pool::PoolScheduler;

/// Drops all lines, so that only decisions are measured.
class NoLog : public DecisionLog {
public:
  void write(LogLevel, std::string_view,
             std::initializer_list<LogValue>) override {}
};

std::string inMicroseconds(double Nanoseconds) {
  return std::to_string(static_cast<long>(Nanoseconds / 1000.0)) + " us";
}

class PoolLoadBench : public BenchCommand {
public:
  std::string description() const override {
    return "Cost of a turn of the pool's scheduler on a full pool.";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--workers", Workers, "Workers of the pool");
    Command.add_option("--waiting", Waiting, "Jobs that wait for room");
    Command.add_option("--turns", Turns, "Turns that are measured");
  }

  BenchTable run() override {
    fill();
    std::vector<double> Times;
    for (unsigned Turn = 0; Turn < Turns; ++Turn) {
      endOneTask(Turn);
      auto Begin = std::chrono::steady_clock::now();
      pool::PoolOrders Orders = Scheduler.runPass(Now, WallTime(1000s));
      Times.push_back(std::chrono::duration<double, std::nano>(
                          std::chrono::steady_clock::now() - Begin)
                          .count());
      record(Orders);
      Now += 5ms;
    }
    std::sort(Times.begin(), Times.end());
    BenchTable Table;
    Table.Title = "Pool under load";
    std::string Case = std::to_string(Workers) + " workers, " +
                       std::to_string(Waiting) + " jobs waiting";
    Table.Rows.push_back({"turn with one end, median", Case,
                          inMicroseconds(Times[Times.size() / 2]), "", ""});
    Table.Rows.push_back({"turn with one end, p99", Case,
                          inMicroseconds(Times[Times.size() * 99 / 100]), "",
                          ""});
    return Table;
  }

private:
  void fill() {
    pool::QueueSpec Queue;
    Queue.Id = pool::QueueId("batch");
    Queue.Terms.Service = ServiceId("service");
    Queue.Terms.Priority = 1;
    Queue.Terms.Stretch = 3.0;
    pool::PoolConfiguration Configuration;
    Configuration.Queues = {Queue};
    Scheduler.configure(Configuration);
    for (unsigned Number = 0; Number < Workers; ++Number) {
      pool::PoolWorker Worker;
      Worker.Id = WorkerId("worker-" + std::to_string(Number));
      Worker.Address = "10.0.0.1:1";
      Worker.Domain = DomainId("d" + std::to_string(Number % 3));
      Worker.Rack = RackId("r" + std::to_string(Number / 8));
      Worker.Service = Queue.Terms.Service;
      Worker.Labels = {"a", Worker.Rack.str()};
      Worker.Capacity = {32000, 131072, 8};
      Scheduler.updateWorker(Worker, Now);
      pool::WorkerReport Report;
      Report.Result = pool::OrderResult::Done;
      Scheduler.workerReported(Worker.Id, Report, Now, Now);
    }
    unsigned Jobs = Workers * 8 / TasksPerJob + Waiting;
    for (unsigned Number = 0; Number < Jobs; ++Number) {
      pool::JobSpec Spec;
      Spec.Id = JobId(Number + 1);
      Spec.Queue = Queue.Id;
      Spec.Terms = Queue.Terms;
      pool::StepSpec Step;
      Step.Tasks = TasksPerJob;
      // Shapes differ, as they do between callers.
      Step.PerTask = {2800 + Number % 7 * 100, 8200, 1};
      Step.Estimate = 9500ms;
      Step.Gang = Number % 4 == 0;
      Spec.Steps = {Step};
      Spec.AcceptedAt = WallTime(1000s);
      Scheduler.submit(Spec, pool::JobStatus::Queued);
    }
    record(Scheduler.runPass(Now, WallTime(1000s)));
  }

  void record(const pool::PoolOrders &Orders) {
    Scheduler.committed(Scheduler.changes(MostChanges), Now);
    pool::PoolOrders Sent = Scheduler.runPass(Now, WallTime(1000s));
    Sent.Starts.insert(Sent.Starts.end(), Orders.Starts.begin(),
                       Orders.Starts.end());
    for (const pool::StartOrder &Order : Sent.Starts) {
      Scheduler.startAnswered(Order, pool::OrderResult::Done, Now);
      Running.push_back(Order);
    }
  }

  void endOneTask(unsigned Turn) {
    if (Running.empty())
      return;
    std::size_t At = Turn * std::size_t{7919} % Running.size();
    pool::StartOrder Order = Running[At];
    Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(At));
    pool::WorkerReport Report;
    Report.Result = pool::OrderResult::Done;
    Report.Ended.push_back(
        {++Ends[Order.Worker], Order.Task, Order.Run, pool::RunEnd::Done, ""});
    for (const pool::StartOrder &Other : Running)
      if (Other.Worker == Order.Worker)
        Report.Running.push_back({Other.Task, Other.Run, "", 50});
    Scheduler.workerReported(Order.Worker, Report, Now, Now);
  }

  static constexpr unsigned TasksPerJob = 20;
  static constexpr std::size_t MostChanges = 100000;

  unsigned Workers = 350;
  unsigned Waiting = 100;
  unsigned Turns = 500;
  NoLog Log;
  PoolScheduler Scheduler{pool::PoolLimits(), Log};
  TimePoint Now{1000s};
  std::vector<pool::StartOrder> Running;
  std::map<WorkerId, std::uint64_t> Ends;
};

const Registry<BenchCommand>::Registration Registered("pool-load", [] {
  return std::make_unique<PoolLoadBench>();
});

} // namespace

} // namespace banyanworks::bench
