/// \file
/// Implements the JSON codec of the messages between workers and daemons.
#include "edge/WorkerJson.h"

#include "model/JobJson.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

json encode(const TaskId &Task) {
  return {{"job", Task.Job}, {"run", Task.Run}, {"member", Task.Member}};
}

TaskId decodeTask(const json &In) {
  return {In.at("job"), In.at("run"), In.at("member")};
}

json encode(const std::shared_ptr<const JobSpec> &Spec) {
  return Spec ? json::parse(jobToJson(*Spec)) : json();
}

std::shared_ptr<const JobSpec> decodeSpec(const json &In) {
  if (In.is_null())
    return nullptr;
  Outcome<JobSpec> Spec = jobFromJson(In.dump());
  if (!Spec)
    throw std::invalid_argument(Spec.error().Message);
  return std::make_shared<const JobSpec>(*std::move(Spec));
}

json encode(const WorkerInfo &Info) {
  return {{"id", Info.Id},
          {"domain", Info.Domain},
          {"rack", Info.Rack},
          {"rack_number", Info.RackNumber},
          {"capacity", Info.Capacity},
          {"accelerator_model", Info.AcceleratorModel}};
}

WorkerInfo decodeInfo(const json &In) {
  return {In.at("id"),          In.at("domain"),   In.at("rack"),
          In.at("rack_number"), In.at("capacity"), In.at("accelerator_model")};
}

json encode(const ActiveTask &Task) {
  return {{"task", encode(Task.Task)},
          {"granted_by", Task.GrantEpoch},
          {"phase", static_cast<int>(Task.Phase)},
          {"accelerators", Task.Accelerators},
          {"spec", encode(Task.Spec)},
          {"ran_us", Task.RunTime},
          {"checkpointed_us", Task.CheckpointedRunTime}};
}

/// Decodes an enumerator from its number; \p Last is the last enumerator.
template <typename Enum> Enum decodeEnum(const json &In, Enum Last) {
  int Value = In.get<int>();
  if (Value < 0 || Value > static_cast<int>(Last))
    throw std::invalid_argument(std::to_string(Value) + " is out of range");
  return static_cast<Enum>(Value);
}

ActiveTask decodeActiveTask(const json &In) {
  return {decodeTask(In.at("task")),
          In.at("granted_by"),
          decodeEnum(In.at("phase"), TaskPhase::Checkpointing),
          In.at("accelerators"),
          decodeSpec(In.at("spec")),
          In.at("ran_us"),
          In.at("checkpointed_us")};
}

json encode(const EndedTask &Task) {
  return {{"task", encode(Task.Task)},
          {"end", static_cast<int>(Task.End)},
          {"kept_us", Task.SavedRunTime},
          {"spec", encode(Task.Spec)}};
}

EndedTask decodeEndedTask(const json &In) {
  return {decodeTask(In.at("task")),
          decodeEnum(In.at("end"), TaskEnd::Checkpointed), In.at("kept_us"),
          decodeSpec(In.at("spec"))};
}

json encode(const WorkerInventory &Inventory) {
  json Tasks = json::array();
  for (const ActiveTask &Task : Inventory.Tasks)
    Tasks.push_back(encode(Task));
  json Ended = json::array();
  for (const EndedTask &Task : Inventory.Ended)
    Ended.push_back(encode(Task));
  return {{"info", encode(Inventory.Info)},
          {"session", Inventory.Session},
          {"tasks", Tasks},
          {"ended", Ended}};
}

WorkerInventory decodeInventory(const json &In) {
  WorkerInventory Result;
  Result.Info = decodeInfo(In.at("info"));
  Result.Session = In.at("session");
  for (const json &Task : In.at("tasks"))
    Result.Tasks.push_back(decodeActiveTask(Task));
  for (const json &Task : In.at("ended"))
    Result.Ended.push_back(decodeEndedTask(Task));
  return Result;
}

json encode(const WorkerReport &Report) {
  json Encoded = {{"worker", Report.Worker},
                  {"session", Report.Session},
                  {"address", Report.Address}};
  if (Report.Inventory)
    Encoded["inventory"] = encode(*Report.Inventory);
  for (const TaskEnded &End : Report.Ended) {
    Encoded["ended"].push_back({{"task", encode(End.Task)},
                                {"end", static_cast<int>(End.End)},
                                {"kept_us", End.SavedRunTime}});
  }
  for (const UsageReported &Usage : Report.Usage)
    Encoded["usage"].push_back(
        {{"task", encode(Usage.Task)}, {"used", Usage.Used}});
  return Encoded;
}

WorkerReport decodeReport(const json &In) {
  WorkerReport Result;
  Result.Worker = In.at("worker");
  Result.Session = In.at("session");
  Result.Address = In.at("address");
  if (In.contains("inventory"))
    Result.Inventory = decodeInventory(In.at("inventory"));
  for (const json &End : In.value("ended", json::array())) {
    Result.Ended.push_back({decodeTask(End.at("task")), Result.Worker,
                            decodeEnum(End.at("end"), TaskEnd::Checkpointed),
                            End.at("kept_us")});
  }
  for (const json &Usage : In.value("usage", json::array()))
    Result.Usage.push_back(
        {decodeTask(Usage.at("task")), Result.Worker, Usage.at("used")});
  return Result;
}

/// Encodes each type of order; the field "order" names the type.
struct OrderEncoder {
  template <typename Order>
  json encodeCommon(const char *Kind, const Order &O) const {
    return {{"order", Kind},
            {"task", encode(O.Task)},
            {"worker", O.Worker},
            {"term", O.Term}};
  }
  json operator()(const HoldTask &O) const {
    json Encoded = encodeCommon("hold", O);
    Encoded["amount"] = O.Amount;
    Encoded["accelerators"] = O.Accelerators;
    Encoded["spec"] = encode(O.Spec);
    Encoded["lease_us"] = O.Lease;
    return Encoded;
  }
  json operator()(const StartTask &O) const { return encodeCommon("start", O); }
  json operator()(const ReleaseTask &O) const {
    return encodeCommon("release", O);
  }
  json operator()(const CheckpointTask &O) const {
    return encodeCommon("checkpoint", O);
  }
  json operator()(const StopTask &O) const { return encodeCommon("stop", O); }
  json operator()(const ThrottleTask &O) const {
    json Encoded = encodeCommon("throttle", O);
    Encoded["limit"] = O.Limit;
    return Encoded;
  }
  json operator()(const ForgetTask &O) const {
    return encodeCommon("forget", O);
  }
};

WorkerOrder decodeOrder(const json &In) {
  std::string Kind = In.at("order");
  TaskId Task = decodeTask(In.at("task"));
  WorkerId Worker = In.at("worker");
  Epoch Term = In.at("term");
  if (Kind == "hold") {
    return HoldTask{Task,
                    Worker,
                    Term,
                    In.at("amount"),
                    In.at("accelerators"),
                    decodeSpec(In.at("spec")),
                    In.at("lease_us")};
  }
  if (Kind == "start")
    return StartTask{Task, Worker, Term};
  if (Kind == "release")
    return ReleaseTask{Task, Worker, Term};
  if (Kind == "checkpoint")
    return CheckpointTask{Task, Worker, Term};
  if (Kind == "stop")
    return StopTask{Task, Worker, Term};
  if (Kind == "throttle")
    return ThrottleTask{Task, Worker, Term, In.at("limit")};
  if (Kind == "forget")
    return ForgetTask{Task, Worker, Term};
  throw std::invalid_argument("'" + Kind + "' is not an order");
}

} // namespace

std::string workerReportToJson(const WorkerReport &Report) {
  return encode(Report).dump();
}

Outcome<WorkerReport> workerReportFromJson(std::string_view Text) {
  return decodeJson(Text, decodeReport);
}

std::string reportAnswerToJson(const ReportAnswer &Answer) {
  return json{{"taken", Answer.Accepted},
              {"owner", Answer.OwnerAddress},
              {"inventory_wanted", Answer.InventoryWanted},
              {"lease_us", Answer.Lease}}
      .dump();
}

Outcome<ReportAnswer> reportAnswerFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    return ReportAnswer{In.at("taken"), In.at("owner"),
                        In.at("inventory_wanted"), In.at("lease_us")};
  });
}

std::string inventoryToJson(const WorkerInventory &Inventory) {
  return encode(Inventory).dump();
}

Outcome<WorkerInventory> inventoryFromJson(std::string_view Text) {
  return decodeJson(Text, decodeInventory);
}

std::string workerOrderToJson(const WorkerOrder &Order) {
  return std::visit(OrderEncoder(), Order).dump();
}

Outcome<WorkerOrder> workerOrderFromJson(std::string_view Text) {
  return decodeJson(Text, decodeOrder);
}

std::string orderResultToJson(OrderResult Result) {
  return json{{"result", static_cast<int>(Result)}}.dump();
}

Outcome<OrderResult> orderResultFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    return decodeEnum(In.at("result"), OrderResult::Unknown);
  });
}

} // namespace banyanworks
