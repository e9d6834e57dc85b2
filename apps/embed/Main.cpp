/// \file
/// Example program that embeds the library: owns one failure domain with two
/// workers, submits a gang, and carries out the scheduler's orders by printing
/// them and answering immediately.
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

/// Simulates workers that carry out each order successfully.
class Embedder {
public:
  Embedder() : Scheduler(SchedulerSettings(), Domain) {}

  /// Passes an event to the scheduler, then the events that result from its
  /// orders. Events posted from within an order are queued.
  void post(const JobEvent &Event) {
    PendingEvents.push_back(Event);
    if (PendingEvents.size() > 1)
      return;
    while (!PendingEvents.empty()) {
      for (const JobAction &Action :
           Scheduler.handle(Now, PendingEvents.front()))
        std::visit(*this, Action);
      PendingEvents.pop_front();
    }
  }

  /// Advances the simulated time, with a tick at each deadline of the
  /// scheduler.
  void advanceTime(Duration Span) {
    TimePoint End = Now + Span;
    while (Scheduler.nextDeadline() <= End) {
      Now = std::max(Now + std::chrono::milliseconds(1),
                     Scheduler.nextDeadline());
      post(Tick{});
    }
    Now = End;
  }

  void operator()(const HoldTask &Order) {
    std::cout << "hold member " << Order.Task.Member << " on "
              << Order.Worker.str() << '\n';
    post(HoldAnswered{Order.Task, Order.Worker, OrderResult::Done});
  }
  void operator()(const StartTask &Order) {
    std::cout << "start member " << Order.Task.Member << " on "
              << Order.Worker.str() << '\n';
    post(StartAnswered{Order.Task, Order.Worker, OrderResult::Done});
    post(TaskEnded{Order.Task, Order.Worker, TaskEnd::Succeeded, {}});
  }
  void operator()(const JobProgressed &Progress) {
    Succeeded = Progress.Phase == JobPhase::Succeeded;
  }
  template <typename Other> void operator()(const Other &) {}

  bool succeeded() const { return Succeeded; }

private:
  DomainScheduler Scheduler;
  std::deque<JobEvent> PendingEvents;
  TimePoint Now{std::chrono::seconds(1)};
  bool Succeeded = false;
};

} // namespace

int main() {
  Embedder Program;
  Program.post(ConfigurationChanged{configuration()});
  Program.post(PermissionRenewed{TimePoint::max()});
  OwnershipGained Gained;
  Gained.Term = Epoch(1);
  Gained.RecordsComplete = true;
  Program.post(Gained);
  Program.post(WorkerJoined{worker("worker-1")});
  Program.post(WorkerJoined{worker("worker-2")});
  Program.post(JobSubmitted{gang()});
  Program.advanceTime(std::chrono::seconds(5));
  std::cout << (Program.succeeded() ? "the gang succeeded\n"
                                    : "the gang did not succeed\n");
  return Program.succeeded() ? 0 : 1;
}
