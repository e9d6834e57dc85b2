/// \file
/// Implements JobPlane.
#include "daemon/JobPlane.h"

#include "daemon/Context.h"
#include "daemon/JobRecord.h"
#include "daemon/StoreLink.h"
#include "edge/Executor.h"
#include "edge/Log.h"
#include "edge/Metrics.h"
#include "edge/SteadyClock.h"
#include "edge/WorkerAdapter.h"
#include "model/EnumNames.h"

namespace banyanworks {

namespace {

/// A worker's session is valid for this long after each report.
constexpr Duration WorkerSessionLease = std::chrono::seconds(10);

std::string idToString(JobId Id) { return std::to_string(Id.value()); }

struct OrderName {
  const char *operator()(const HoldTask &) const { return "hold"; }
  const char *operator()(const StartTask &) const { return "start"; }
  const char *operator()(const ReleaseTask &) const { return "release"; }
  const char *operator()(const CheckpointTask &) const { return "checkpoint"; }
  const char *operator()(const StopTask &) const { return "stop"; }
  const char *operator()(const ThrottleTask &) const { return "throttle"; }
  const char *operator()(const ForgetTask &) const { return "forget"; }
};

} // namespace

/// Carries out one action; called with the lock held, so that orders to a
/// worker are queued in the order of the scheduler's decisions.
struct JobPlane::ActionVisitor {
  JobPlane &Plane;

  template <typename Order> void operator()(const Order &O) const {
    Plane.sendOrder(O, O.Worker);
  }
  void operator()(const StepDown &Action) const {
    Plane.OnStepDown(Action.Term);
  }
  void operator()(const JobProgressed &Action) const {
    logInfo("job_progressed",
            {{"job", idToString(Action.Job)},
             {"phase", std::string(enumName(Action.Phase))},
             {"reason", std::string(reasonInfo(Action.StatusReason).Name)}});
    if (isTerminal(Action.Phase))
      Plane.recordOutcome(Action);
  }
};

JobPlane::JobPlane(Context &Shared, WorkerAdapter &Workers,
                   std::function<void(Epoch)> OnStepDown)
    : Shared(Shared), Workers(Workers), OnStepDown(std::move(OnStepDown)),
      Scheduler(SchedulerSettings(), Shared.DaemonSettings.Domain) {}

void JobPlane::post(const JobEvent &Event) {
  std::lock_guard Guard(Lock);
  perform(Scheduler.handle(steadyNow(), Event));
}

void JobPlane::perform(const std::vector<JobAction> &Actions) {
  for (const JobAction &Action : Actions)
    std::visit(ActionVisitor{*this}, Action);
}

void JobPlane::configurationChanged(
    const std::shared_ptr<const Configuration> &NewConfiguration) {
  post(ConfigurationChanged{NewConfiguration});
}

void JobPlane::permissionRenewed(TimePoint StartUntil) {
  post(PermissionRenewed{StartUntil});
}

void JobPlane::gainOwnership(Epoch Term, bool StoreAvailable) {
  OwnershipGained Event;
  Event.Term = Term;
  if (StoreAvailable)
    Event.Jobs = loadJobs(Event.RecordsComplete);
  std::lock_guard Guard(Lock);
  Directory.clearJoined();
  for (const auto &[Worker, Session] : Directory.all()) {
    Event.ExpectedWorkers.push_back(Worker);
    pullInventory(Worker, Session.Address);
  }
  perform(Scheduler.handle(steadyNow(), Event));
}

void JobPlane::loseOwnership() { post(OwnershipLost{}); }

std::vector<std::shared_ptr<const JobSpec>> JobPlane::loadJobs(bool &Complete) {
  std::vector<std::shared_ptr<const JobSpec>> Result;
  StoreAnswer Answer = Shared.Store.call(
      ListRequest{jobRecordPrefix(Shared.DaemonSettings.Domain)});
  auto *Listed = std::get_if<EntriesAnswer>(&Answer.Result);
  Complete = Listed != nullptr;
  if (!Listed)
    return Result;
  for (const StoreEntry &Entry : Listed->Entries) {
    Outcome<JobRecord> Record = jobRecordFromJson(Entry.Value);
    if (!Record) {
      logError("job_record_unreadable", {{"key", Entry.Key}});
      continue;
    }
    if (!isTerminal(Record->Phase))
      Result.push_back(std::make_shared<const JobSpec>(Record->Spec));
  }
  return Result;
}

void JobPlane::pullInventory(const WorkerId &Worker,
                             const std::string &Address) {
  Shared.ControlExecutor.run("worker/" + Worker.str(), [this, Worker, Address] {
    Outcome<WorkerInventory> Inventory = Workers.inventory(Address, Worker);
    if (!Inventory)
      return;
    WorkerReport Report;
    Report.Worker = Worker;
    Report.Session = Inventory->Session;
    Report.Address = Address;
    Report.Inventory = *std::move(Inventory);
    report(Report);
  });
}

ReportAnswer JobPlane::report(const WorkerReport &Report) {
  ReportAnswer Answer;
  Answer.Lease = WorkerSessionLease;
  std::lock_guard Guard(Lock);
  TimePoint Now = steadyNow();
  WorkerSession &Session = Directory.recordReport(
      Report.Worker, Report.Address, Report.Session, Now + WorkerSessionLease);
  if (!Scheduler.domain().Owner)
    return Answer;
  Answer.Accepted = true;
  if (Report.Inventory) {
    Session.Joined = true;
    perform(Scheduler.handle(Now, WorkerJoined{*Report.Inventory}));
  }
  Answer.InventoryWanted = !Session.Joined;
  for (const TaskEnded &Ended : Report.Ended)
    perform(Scheduler.handle(Now, Ended));
  for (const UsageReported &Usage : Report.Usage)
    perform(Scheduler.handle(Now, Usage));
  return Answer;
}

void JobPlane::sendOrder(const WorkerOrder &Order, const WorkerId &Worker) {
  const WorkerSession *Session = Directory.find(Worker);
  const char *Kind = std::visit(OrderName(), Order);
  Shared.Counters.recordWorkerOrder(Kind);
  if (!Session) {
    Shared.ControlExecutor.run("worker/" + Worker.str(), [this, Order] {
      handleOrderResult(Order, OrderResult::Unknown);
    });
    return;
  }
  Shared.ControlExecutor.run(
      "worker/" + Worker.str(), [this, Order, Address = Session->Address] {
        handleOrderResult(Order, Workers.order(Address, Order));
      });
}

void JobPlane::handleOrderResult(const WorkerOrder &Order, OrderResult Result) {
  if (auto *Hold = std::get_if<HoldTask>(&Order))
    post(HoldAnswered{Hold->Task, Hold->Worker, Result});
  if (auto *Start = std::get_if<StartTask>(&Order))
    post(StartAnswered{Start->Task, Start->Worker, Result});
}

void JobPlane::recordOutcome(const JobProgressed &Action) {
  std::optional<JobView> View = Scheduler.job(Action.Job);
  if (!View || !View->Spec)
    return;
  JobRecord Record{*View->Spec, Action.Phase, Action.StatusReason};
  Shared.ControlExecutor.run("job/" + idToString(Action.Job), [this, Record] {
    StoreAnswer Written = Shared.Store.call(
        PutRequest{jobRecordKey(Shared.DaemonSettings.Domain, Record.Spec.Id),
                   jobRecordToJson(Record), std::nullopt, StoreLeaseId()});
    if (std::holds_alternative<WrittenAnswer>(Written.Result))
      post(OutcomeRecorded{Record.Spec.Id});
  });
}

Outcome<JobView> JobPlane::submit(const JobSpec &Spec) {
  if (!owns())
    return fail(Reason::NotOwner, "this daemon does not schedule " +
                                      Shared.DaemonSettings.Domain.str());
  if (std::optional<JobView> Existing = job(Spec.Id)) {
    if (*Existing->Spec != Spec)
      return fail(Reason::KeyReused, "the key was used for another job");
    return *std::move(Existing);
  }
  JobRecord Record{Spec, JobPhase::Queued, Reason::None};
  StoreAnswer Written = Shared.Store.call(
      PutRequest{jobRecordKey(Shared.DaemonSettings.Domain, Spec.Id),
                 jobRecordToJson(Record), StoreRevision(), StoreLeaseId()});
  if (auto *Conflict = std::get_if<ConflictAnswer>(&Written.Result)) {
    Outcome<JobRecord> Recorded =
        Conflict->Current ? jobRecordFromJson(Conflict->Current->Value)
                          : Outcome<JobRecord>(Record);
    if (!Recorded || Recorded->Spec != Spec)
      return fail(Reason::KeyReused, "the key was used for another job");
    JobView View;
    View.Spec = std::make_shared<const JobSpec>(Spec);
    View.Phase = Recorded->Phase;
    View.StatusReason = Recorded->StatusReason;
    return View;
  }
  if (!std::holds_alternative<WrittenAnswer>(Written.Result)) {
    return fail(Reason::OutcomeUnknown,
                "the store did not say whether the job was recorded; submit it "
                "again under the same key");
  }
  post(JobSubmitted{std::make_shared<const JobSpec>(Spec)});
  std::optional<JobView> View = job(Spec.Id);
  if (!View)
    return fail(Reason::NotOwner, "ownership was lost meanwhile");
  return *std::move(View);
}

bool JobPlane::cancel(JobId Id) {
  if (!job(Id))
    return false;
  post(JobCancelled{Id});
  return true;
}

std::optional<JobView> JobPlane::job(JobId Id) const {
  std::lock_guard Guard(Lock);
  return Scheduler.job(Id);
}

std::optional<JobExplanation> JobPlane::explain(JobId Id) const {
  std::lock_guard Guard(Lock);
  return Scheduler.explain(Id);
}

DomainSnapshot JobPlane::snapshot() const {
  std::lock_guard Guard(Lock);
  return {Scheduler.domain(), Scheduler.jobs(), Scheduler.workers(),
          Scheduler.workspaces(), Scheduler.fragmentation()};
}

bool JobPlane::owns() const {
  std::lock_guard Guard(Lock);
  return Scheduler.domain().Owner;
}

void JobPlane::tick() {
  std::lock_guard Guard(Lock);
  TimePoint Now = steadyNow();
  if (Scheduler.domain().Owner)
    for (const WorkerId &Worker : Directory.takeExpired(Now))
      perform(Scheduler.handle(Now, WorkerDeparted{Worker}));
  if (Scheduler.nextDeadline() <= Now)
    perform(Scheduler.handle(Now, Tick{}));
}

} // namespace banyanworks
