/// \file
/// Implements the durable form of a JobSpec.
#include "pool/JobSpecJson.h"

#include "model/JsonFields.h"
#include "pool/JobSpec.h"

namespace banyanworks::pool {

using nlohmann::json;

namespace {

json encodeStep(const StepSpec &Step) {
  json Out = {{"tasks", Step.Tasks},
              {"cpu", Step.PerTask.MilliCores},
              {"memory", Step.PerTask.MemoryMiB},
              {"accelerators", Step.PerTask.Accelerators},
              {"estimate_us", Step.Estimate.count()}};
  if (!Step.After.empty())
    Out["after"] = Step.After;
  auto Flag = [&Out](const char *Name, bool Value) {
    if (Value)
      Out[Name] = true;
  };
  Flag("checkpoints", Step.Checkpoints);
  Flag("gang", Step.Gang);
  Flag("same_rack", Step.SameRack);
  Flag("may_run_twice", Step.MayRunTwice);
  Flag("long_running", Step.LongRunning);
  Flag("fills_idle", Step.FillsIdle);
  if (Step.serves())
    Out["tail_target_us"] = Step.TailTarget.count();
  if (Step.MaxPerWorker)
    Out["max_per_worker"] = Step.MaxPerWorker;
  if (Step.MayMiss)
    Out["may_miss"] = Step.MayMiss;
  if (!Step.RequiredLabel.empty())
    Out["required_label"] = Step.RequiredLabel;
  if (!Step.DataRack.empty())
    Out["data_rack"] = Step.DataRack.str();
  return Out;
}

StepSpec decodeStep(const json &In) {
  StepSpec Step;
  Step.Tasks = In.at("tasks").get<std::uint32_t>();
  Step.PerTask.MilliCores = In.at("cpu").get<std::int64_t>();
  Step.PerTask.MemoryMiB = In.at("memory").get<std::int64_t>();
  Step.PerTask.Accelerators = In.at("accelerators").get<std::int32_t>();
  Step.Estimate = Duration(In.at("estimate_us").get<std::int64_t>());
  Step.After = In.value("after", std::vector<std::uint32_t>());
  Step.Checkpoints = In.value("checkpoints", false);
  Step.Gang = In.value("gang", false);
  Step.SameRack = In.value("same_rack", false);
  Step.MayRunTwice = In.value("may_run_twice", false);
  Step.LongRunning = In.value("long_running", false);
  Step.FillsIdle = In.value("fills_idle", false);
  Step.TailTarget = Duration(In.value("tail_target_us", std::int64_t{0}));
  Step.MaxPerWorker = In.value("max_per_worker", 0U);
  Step.MayMiss = In.value("may_miss", 0U);
  Step.RequiredLabel = In.value("required_label", std::string());
  Step.DataRack = RackId(In.value("data_rack", std::string()));
  return Step;
}

} // namespace

std::string encodeJobSpec(const JobSpec &Spec) {
  json Steps = json::array();
  for (const StepSpec &Step : Spec.Steps)
    Steps.push_back(encodeStep(Step));
  json Out = {{"id", Spec.Id.value()},
              {"queue", Spec.Queue.str()},
              {"workspace", Spec.Workspace.str()},
              {"program", Spec.Program},
              {"steps", std::move(Steps)},
              {"accepted_us", Spec.AcceptedAt.time_since_epoch().count()},
              {"service", Spec.Terms.Service.str()},
              {"priority", Spec.Terms.Priority},
              {"max_attempts", Spec.Terms.MaxAttempts},
              {"stretch", Spec.Terms.Stretch},
              {"slack_us", Spec.Terms.Slack.count()}};
  if (Spec.Terms.Advice)
    Out["advice_us"] = {Spec.Terms.Advice->Decision.count(),
                        Spec.Terms.Advice->PerWorker.count()};
  if (Spec.scheduled()) {
    Out["occurrences"] = Spec.Occurrences;
    Out["first_due_us"] = Spec.FirstDue.time_since_epoch().count();
    Out["interval_us"] = Spec.Interval.count();
  }
  return Out.dump();
}

Outcome<JobSpec> decodeJobSpec(const std::string &Text) {
  return decodeJson(Text, [](const json &In) {
    JobSpec Spec;
    Spec.Id = JobId(In.at("id").get<std::uint64_t>());
    Spec.Queue = QueueId(In.at("queue").get<std::string>());
    Spec.Workspace = WorkspaceId(In.at("workspace").get<std::string>());
    Spec.Program = In.at("program").get<std::string>();
    for (const json &Step : In.at("steps"))
      Spec.Steps.push_back(decodeStep(Step));
    Spec.AcceptedAt =
        WallTime(Duration(In.at("accepted_us").get<std::int64_t>()));
    Spec.Terms.Service = ServiceId(In.at("service").get<std::string>());
    Spec.Terms.Priority = In.at("priority").get<std::uint32_t>();
    Spec.Terms.MaxAttempts = In.at("max_attempts").get<std::uint32_t>();
    Spec.Terms.Stretch = In.at("stretch").get<double>();
    Spec.Terms.Slack = Duration(In.at("slack_us").get<std::int64_t>());
    if (auto Advice = In.find("advice_us"); Advice != In.end()) {
      Spec.Terms.Advice =
          AdviceTerms{Duration(Advice->at(0).get<std::int64_t>()),
                      Duration(Advice->at(1).get<std::int64_t>())};
    }
    Spec.Occurrences = In.value("occurrences", 0U);
    Spec.FirstDue =
        WallTime(Duration(In.value("first_due_us", std::int64_t{0})));
    Spec.Interval = Duration(In.value("interval_us", std::int64_t{0}));
    return Spec;
  });
}

} // namespace banyanworks::pool
