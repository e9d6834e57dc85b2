/// \file
/// Implements the stored JSON form of a JobSpec.
#include "pool/JobSpecJson.h"

#include "model/JsonFields.h"
#include "pool/JobSpec.h"

namespace banyanworks::pool {

using nlohmann::json;

namespace {

json encodeStep(const StepSpec &Step) {
  json Encoded = {{"tasks", Step.Tasks},
                  {"cpu", Step.PerTask.MilliCores},
                  {"memory", Step.PerTask.MemoryMiB},
                  {"accelerators", Step.PerTask.Accelerators},
                  {"estimate_us", Step.Estimate.count()}};
  if (!Step.After.empty())
    Encoded["after"] = Step.After;
  auto Flag = [&Encoded](const char *Name, bool Value) {
    if (Value)
      Encoded[Name] = true;
  };
  Flag("checkpoints", Step.Checkpoints);
  Flag("gang", Step.Gang);
  Flag("same_rack", Step.SameRack);
  Flag("may_run_twice", Step.MayRunTwice);
  Flag("long_running", Step.LongRunning);
  Flag("fills_idle", Step.FillsIdle);
  if (Step.servesUsers())
    Encoded["tail_target_us"] = Step.TailTarget.count();
  if (Step.MaxPerWorker)
    Encoded["max_per_worker"] = Step.MaxPerWorker;
  if (Step.MaxUnavailable)
    Encoded["may_miss"] = Step.MaxUnavailable;
  if (!Step.RequiredLabel.empty())
    Encoded["required_label"] = Step.RequiredLabel;
  if (!Step.DataRack.empty())
    Encoded["data_rack"] = Step.DataRack.str();
  return Encoded;
}

StepSpec decodeStep(const json &Encoded) {
  StepSpec Step;
  Step.Tasks = Encoded.at("tasks").get<std::uint32_t>();
  Step.PerTask.MilliCores = Encoded.at("cpu").get<std::int64_t>();
  Step.PerTask.MemoryMiB = Encoded.at("memory").get<std::int64_t>();
  Step.PerTask.Accelerators = Encoded.at("accelerators").get<std::int32_t>();
  Step.Estimate = Duration(Encoded.at("estimate_us").get<std::int64_t>());
  Step.After = Encoded.value("after", std::vector<std::uint32_t>());
  Step.Checkpoints = Encoded.value("checkpoints", false);
  Step.Gang = Encoded.value("gang", false);
  Step.SameRack = Encoded.value("same_rack", false);
  Step.MayRunTwice = Encoded.value("may_run_twice", false);
  Step.LongRunning = Encoded.value("long_running", false);
  Step.FillsIdle = Encoded.value("fills_idle", false);
  Step.TailTarget = Duration(Encoded.value("tail_target_us", std::int64_t{0}));
  Step.MaxPerWorker = Encoded.value("max_per_worker", 0U);
  Step.MaxUnavailable = Encoded.value("may_miss", 0U);
  Step.RequiredLabel = Encoded.value("required_label", std::string());
  Step.DataRack = RackId(Encoded.value("data_rack", std::string()));
  return Step;
}

} // namespace

std::string encodeJobSpec(const JobSpec &Spec) {
  json Steps = json::array();
  for (const StepSpec &Step : Spec.Steps)
    Steps.push_back(encodeStep(Step));
  json Encoded = {{"id", Spec.Id.value()},
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
    Encoded["advice_us"] = {Spec.Terms.Advice->ResponseTime.count(),
                            Spec.Terms.Advice->ResponseTimePerWorker.count()};
  if (Spec.isScheduled()) {
    Encoded["occurrences"] = Spec.Occurrences;
    Encoded["first_due_us"] = Spec.FirstDue.time_since_epoch().count();
    Encoded["interval_us"] = Spec.Interval.count();
  }
  return Encoded.dump();
}

Outcome<JobSpec> decodeJobSpec(const std::string &Text) {
  return decodeJson(Text, [](const json &Encoded) {
    JobSpec Spec;
    Spec.Id = JobId(Encoded.at("id").get<std::uint64_t>());
    Spec.Queue = QueueId(Encoded.at("queue").get<std::string>());
    Spec.Workspace = WorkspaceId(Encoded.at("workspace").get<std::string>());
    Spec.Program = Encoded.at("program").get<std::string>();
    for (const json &Step : Encoded.at("steps"))
      Spec.Steps.push_back(decodeStep(Step));
    Spec.AcceptedAt =
        WallTime(Duration(Encoded.at("accepted_us").get<std::int64_t>()));
    Spec.Terms.Service = ServiceId(Encoded.at("service").get<std::string>());
    Spec.Terms.Priority = Encoded.at("priority").get<std::uint32_t>();
    Spec.Terms.MaxAttempts = Encoded.at("max_attempts").get<std::uint32_t>();
    Spec.Terms.Stretch = Encoded.at("stretch").get<double>();
    Spec.Terms.Slack = Duration(Encoded.at("slack_us").get<std::int64_t>());
    if (auto Advice = Encoded.find("advice_us"); Advice != Encoded.end()) {
      Spec.Terms.Advice =
          AdviceTerms{Duration(Advice->at(0).get<std::int64_t>()),
                      Duration(Advice->at(1).get<std::int64_t>())};
    }
    Spec.Occurrences = Encoded.value("occurrences", 0U);
    Spec.FirstDue =
        WallTime(Duration(Encoded.value("first_due_us", std::int64_t{0})));
    Spec.Interval = Duration(Encoded.value("interval_us", std::int64_t{0}));
    return Spec;
  });
}

} // namespace banyanworks::pool
