/// \file
/// Implements the reader of a service's section of a declaration file.
#include "model/ServiceDeclaration.h"

#include "model/Configuration.h"
#include "model/TomlReader.h"

namespace banyanworks {

namespace {

constexpr double MaxRate = 1e6;
constexpr std::int64_t MaxConcurrency = 1'000'000;
constexpr std::int64_t MaxMembers = 128;
constexpr std::int64_t MaxRestarts = 100;
constexpr double MaxCores = 1024;
constexpr std::uint64_t BytesPerMiB = 1 << 20;
constexpr double MilliPerCore = 1000;
constexpr std::uint64_t MaxBodyBytes = 64 << 20;

void readMethod(TomlReader &Table, Method &Item) {
  Item.Repeatable = Table.boolean("repeatable", Item.Repeatable);
  Item.Deadline = Table.duration("deadline", Item.Deadline);
  Item.RateLimit = Table.number("rate_limit", 0, MaxRate, Item.RateLimit);
  Item.ConcurrencyLimit = static_cast<std::uint32_t>(Table.integer(
      "concurrency_limit", 0, MaxConcurrency, Item.ConcurrencyLimit));
  Item.MaxBody = Table.bytes("max_body", Item.MaxBody);
  if (Item.MaxBody > MaxBodyBytes)
    Table.report("max_body", "'max_body' exceeds the system-wide limit",
                 "use at most \"64MiB\"");
}

} // namespace

void readJobKind(TomlReader &Table, JobKind &Kind) {
  Kind.MaxMembers = static_cast<std::uint32_t>(
      Table.integer("max_members", 1, MaxMembers, Kind.MaxMembers));
  Kind.PerMember.MilliCores = static_cast<std::int64_t>(
      Table.number("cores", 0, MaxCores, 1) * MilliPerCore);
  Kind.PerMember.MemoryMiB = static_cast<std::int64_t>(
      Table.bytes("memory", BytesPerMiB << 10) / BytesPerMiB);
  Kind.PerMember.Accelerators =
      static_cast<std::int32_t>(Table.integer("accelerators", 0, 32, 0));
  Kind.MemberAdjacency = Table.choice("adjacency", Kind.MemberAdjacency);
  Kind.AdjacencyRequired =
      Table.boolean("adjacency_required", Kind.AdjacencyRequired);
  Kind.Urgency = Table.choice("priority", Kind.Urgency);
  Kind.ExpectedRunTime =
      Table.duration("expected_run_time", Kind.ExpectedRunTime);
  Kind.Checkpointable = Table.boolean("checkpointable", Kind.Checkpointable);
  Kind.MaxRestarts = static_cast<std::uint32_t>(
      Table.integer("max_restarts", 0, MaxRestarts, Kind.MaxRestarts));
}

void readServiceDeclaration(TomlReader &File, Configuration &Config) {
  if (!File.has("service")) {
    for (const char *Key : {"method", "job"}) {
      if (File.has(Key)) {
        File.report(Key,
                    "'" + std::string(Key) + "' is declared without a service",
                    "add [service] with its name and workspace");
      }
    }
    return;
  }
  Service Item;
  File.visitTable("service", [&](TomlReader &Table) {
    Item.Id = ServiceId(Table.requiredName("name"));
    Item.Workspace = WorkspaceId(Table.requiredName("workspace"));
  });
  File.visitTables("method", [&](const std::string &Name, TomlReader &Table) {
    Method &Entry = Item.Methods[MethodId(Name)];
    Entry.Id = MethodId(Name);
    readMethod(Table, Entry);
  });
  File.visitTables("job", [&](const std::string &Name, TomlReader &Table) {
    JobKind &Entry = Item.JobKinds[JobKindId(Name)];
    Entry.Id = JobKindId(Name);
    readJobKind(Table, Entry);
  });
  if (Item.Id.empty())
    return;
  if (Config.Services.count(Item.Id) > 0) {
    File.report("service", "service '" + Item.Id.str() + "' is declared twice",
                "remove one of the two files");
    return;
  }
  Config.Services.emplace(Item.Id, std::move(Item));
}

} // namespace banyanworks
