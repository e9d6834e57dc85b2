/// \file
/// A program that embeds the library: it owns one failure domain with two
/// workers, submits a gang and carries the scheduler's orders out by printing
/// them and answering at once.
#include "jobs/DomainScheduler.h"

#include <algorithm>
#include <deque>
#include <iostream>

using namespace banyanworks;

namespace {

const DomainId Domain("cellar");

std::shared_ptr<const Configuration> configuration() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigVersion(1);
  Config->Domains[Domain].Id = Domain;
  Config->Workspaces[WorkspaceId("lab")].Id = WorkspaceId("lab");
  return Config;
}

WorkerInventory worker(const std::string &Name) {
  WorkerInventory Inventory;
  Inventory.Info.Id = WorkerId(Name);
  Inventory.Info.Domain = Domain;
  Inventory.Info.Rack = RackId("rack-1");
  Inventory.Info.Capacity = {32'000, 131'072, 8};
  Inventory.Session = Incarnation(1);
  return Inventory;
}

std::shared_ptr<const JobSpec> gang() {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(1);
  Spec->Workspace = WorkspaceId("lab");
  Spec->Members = 2;
  Spec->PerMember = {16'000, 65'536, 8};
  Spec->MemberAdjacency = Adjacency::SameRack;
  Spec->AdjacencyRequired = true;
  Spec->ExpectedRunTime = std::chrono::minutes(30);
  return Spec;
}

/// Answers each order as a worker would that does what it is told.
class Embedder {
public:
  Embedder() : Scheduler(SchedulerSettings(), Domain) {}

  /// Gives an event, and then what the orders that follow from it bring.
  void give(const JobEvent &Event) {
    Waiting.push_back(Event);
    if (Waiting.size() > 1)
      return;
    while (!Waiting.empty()) {
      for (const JobAction &Action : Scheduler.handle(Now, Waiting.front()))
        std::visit(*this, Action);
      Waiting.pop_front();
    }
  }

  /// Lets time pass; the scheduler says when it wants to be told.
  void waitFor(Duration Span) {
    TimePoint End = Now + Span;
    while (Scheduler.nextDeadline() <= End) {
      Now = std::max(Now + std::chrono::milliseconds(1),
                     Scheduler.nextDeadline());
      give(Tick{});
    }
    Now = End;
  }

  void operator()(const HoldTask &Order) {
    std::cout << "hold member " << Order.Task.Member << " on "
              << Order.Worker.str() << '\n';
    give(HoldAnswered{Order.Task, Order.Worker, OrderResult::Done});
  }
  void operator()(const StartTask &Order) {
    std::cout << "start member " << Order.Task.Member << " on "
              << Order.Worker.str() << '\n';
    give(StartAnswered{Order.Task, Order.Worker, OrderResult::Done});
    give(TaskEnded{Order.Task, Order.Worker, TaskEnd::Succeeded, {}});
  }
  void operator()(const JobProgressed &Progress) {
    Succeeded = Progress.Phase == JobPhase::Succeeded;
  }
  template <typename Other> void operator()(const Other &) {}

  bool succeeded() const { return Succeeded; }

private:
  DomainScheduler Scheduler;
  std::deque<JobEvent> Waiting;
  TimePoint Now{std::chrono::seconds(1)};
  bool Succeeded = false;
};

} // namespace

int main() {
  Embedder Program;
  Program.give(ConfigurationChanged{configuration()});
  Program.give(PermissionRenewed{TimePoint::max()});
  OwnershipGained Gained;
  Gained.Term = Epoch(1);
  Gained.RecordsComplete = true;
  Program.give(Gained);
  Program.give(WorkerJoined{worker("worker-1")});
  Program.give(WorkerJoined{worker("worker-2")});
  Program.give(JobSubmitted{gang()});
  Program.waitFor(std::chrono::seconds(5));
  std::cout << (Program.succeeded() ? "the gang succeeded\n"
                                    : "the gang did not succeed\n");
  return Program.succeeded() ? 0 : 1;
}
