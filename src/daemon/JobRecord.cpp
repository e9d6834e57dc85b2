/// \file
/// Implements the encoding and the keys of job records.
#include "daemon/JobRecord.h"

#include "model/JobJson.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

Reason reasonFromName(const std::string &Text) {
  for (const ReasonInfo &Info : allReasons())
    if (Info.Name == Text)
      return Info.Code;
  throw std::invalid_argument("unknown reason '" + Text + "'");
}

JobRecord decodeRecord(const json &In) {
  JobRecord Record;
  Outcome<JobSpec> Spec = jobFromJson(In.at("spec").dump());
  if (!Spec)
    throw std::invalid_argument(Spec.error().Message);
  Record.Spec = *std::move(Spec);
  Record.Phase = In.at("phase");
  Record.StatusReason = reasonFromName(In.at("reason"));
  return Record;
}

} // namespace

std::string jobRecordPrefix(const DomainId &Domain) {
  return "jobs/" + Domain.str() + "/";
}

std::string jobRecordKey(const DomainId &Domain, JobId Job) {
  return jobRecordPrefix(Domain) + std::to_string(Job.value());
}

std::string jobRecordToJson(const JobRecord &Record) {
  json Out = {{"spec", json::parse(jobToJson(Record.Spec))},
              {"phase", Record.Phase},
              {"reason", reasonInfo(Record.StatusReason).Name}};
  return Out.dump();
}

Outcome<JobRecord> jobRecordFromJson(std::string_view Text) {
  return decodeJson(Text, decodeRecord);
}

bool isTerminal(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Succeeded:
  case JobPhase::Failed:
  case JobPhase::Cancelled:
  case JobPhase::Refused:
    return true;
  default:
    return false;
  }
}

} // namespace banyanworks
