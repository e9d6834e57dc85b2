/// \file
/// Implements the JSON codec of configurations.
#include "model/ConfigurationJson.h"

#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

json encode(const GuaranteedCell &Cell) {
  return {{"level", Cell.Level},     {"accelerators", Cell.Accelerators},
          {"workers", Cell.Workers}, {"model", Cell.AcceleratorModel},
          {"count", Cell.Count},     {"domain", Cell.Domain}};
}

json encode(const Workspace &Item) {
  json Cells = json::array();
  for (const GuaranteedCell &Cell : Item.Guarantee)
    Cells.push_back(encode(Cell));
  return {{"id", Item.Id},
          {"guarantee", std::move(Cells)},
          {"share_weight", Item.ShareWeight},
          {"quota", Item.Quota}};
}

json encode(const FailureDomain &Item) {
  return {{"id", Item.Id},
          {"region", Item.Region},
          {"in", Item.InService},
          {"drain", Item.Drain},
          {"drain_deadline_us", Item.DrainDeadline}};
}

json encode(const Method &Item) {
  return {{"id", Item.Id},
          {"repeatable", Item.Repeatable},
          {"deadline_us", Item.Deadline},
          {"rate_limit", Item.RateLimit},
          {"concurrency_limit", Item.ConcurrencyLimit},
          {"max_body", Item.MaxBody}};
}

json encode(const JobKind &Item) {
  return {{"id", Item.Id},
          {"max_members", Item.MaxMembers},
          {"per_member", Item.PerMember},
          {"near", Item.MemberAdjacency},
          {"near_required", Item.AdjacencyRequired},
          {"urgency", Item.Urgency},
          {"expected_run_us", Item.ExpectedRunTime},
          {"checkpointable", Item.Checkpointable},
          {"max_restarts", Item.MaxRestarts}};
}

json encode(const Endpoint &Item) {
  return {{"id", Item.Id},
          {"domain", Item.Domain},
          {"address", Item.Address},
          {"slots", Item.Slots},
          {"leaving", Item.Draining},
          {"connections", Item.Connections}};
}

json encode(const Service &Item);

template <typename Id, typename Item>
json encodeAll(const std::map<Id, Item> &Items) {
  json Result = json::array();
  for (const auto &Entry : Items)
    Result.push_back(encode(Entry.second));
  return Result;
}

json encode(const Service &Item) {
  return {{"id", Item.Id},
          {"workspace", Item.Workspace},
          {"methods", encodeAll(Item.Methods)},
          {"job_kinds", encodeAll(Item.JobKinds)},
          {"endpoints", encodeAll(Item.Endpoints)}};
}

void decode(const json &In, GuaranteedCell &Cell) {
  In.at("level").get_to(Cell.Level);
  In.at("accelerators").get_to(Cell.Accelerators);
  In.at("workers").get_to(Cell.Workers);
  In.at("model").get_to(Cell.AcceleratorModel);
  In.at("count").get_to(Cell.Count);
  In.at("domain").get_to(Cell.Domain);
}

void decode(const json &In, Workspace &Item) {
  In.at("id").get_to(Item.Id);
  for (const json &Cell : In.at("guarantee"))
    decode(Cell, Item.Guarantee.emplace_back());
  In.at("share_weight").get_to(Item.ShareWeight);
  In.at("quota").get_to(Item.Quota);
}

void decode(const json &In, FailureDomain &Item) {
  In.at("id").get_to(Item.Id);
  In.at("region").get_to(Item.Region);
  In.at("in").get_to(Item.InService);
  In.at("drain").get_to(Item.Drain);
  In.at("drain_deadline_us").get_to(Item.DrainDeadline);
}

void decode(const json &In, Method &Item) {
  In.at("id").get_to(Item.Id);
  In.at("repeatable").get_to(Item.Repeatable);
  In.at("deadline_us").get_to(Item.Deadline);
  In.at("rate_limit").get_to(Item.RateLimit);
  In.at("concurrency_limit").get_to(Item.ConcurrencyLimit);
  In.at("max_body").get_to(Item.MaxBody);
}

void decode(const json &In, JobKind &Item) {
  In.at("id").get_to(Item.Id);
  In.at("max_members").get_to(Item.MaxMembers);
  In.at("per_member").get_to(Item.PerMember);
  In.at("near").get_to(Item.MemberAdjacency);
  In.at("near_required").get_to(Item.AdjacencyRequired);
  In.at("urgency").get_to(Item.Urgency);
  In.at("expected_run_us").get_to(Item.ExpectedRunTime);
  In.at("checkpointable").get_to(Item.Checkpointable);
  In.at("max_restarts").get_to(Item.MaxRestarts);
}

void decode(const json &In, Endpoint &Item) {
  In.at("id").get_to(Item.Id);
  In.at("domain").get_to(Item.Domain);
  In.at("address").get_to(Item.Address);
  In.at("slots").get_to(Item.Slots);
  In.at("connections").get_to(Item.Connections);
  In.at("leaving").get_to(Item.Draining);
}

void decode(const json &In, Service &Item);

template <typename Id, typename Item>
void decodeAll(const json &In, std::map<Id, Item> &Items) {
  for (const json &Entry : In) {
    Item Decoded;
    decode(Entry, Decoded);
    Id Key = Decoded.Id;
    Items.emplace(std::move(Key), std::move(Decoded));
  }
}

void decode(const json &In, Service &Item) {
  In.at("id").get_to(Item.Id);
  In.at("workspace").get_to(Item.Workspace);
  decodeAll(In.at("methods"), Item.Methods);
  decodeAll(In.at("job_kinds"), Item.JobKinds);
  decodeAll(In.at("endpoints"), Item.Endpoints);
}

} // namespace

std::string configurationToJson(const Configuration &Config) {
  return json{{"version", Config.Version},
              {"author", Config.Author},
              {"comment", Config.Comment},
              {"domains", encodeAll(Config.Domains)},
              {"workspaces", encodeAll(Config.Workspaces)},
              {"services", encodeAll(Config.Services)}}
      .dump();
}

Outcome<Configuration> configurationFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    Configuration Config;
    In.at("version").get_to(Config.Version);
    In.at("author").get_to(Config.Author);
    In.at("comment").get_to(Config.Comment);
    decodeAll(In.at("domains"), Config.Domains);
    decodeAll(In.at("workspaces"), Config.Workspaces);
    decodeAll(In.at("services"), Config.Services);
    return Config;
  });
}

} // namespace banyanworks
