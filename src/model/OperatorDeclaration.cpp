/// \file
/// Implements the readers of the operators' section of a declaration file.
#include "model/OperatorDeclaration.h"

#include "model/Configuration.h"
#include "model/TomlReader.h"

namespace banyanworks {

namespace {

constexpr std::int64_t MaxSlots = 10'000;
constexpr std::int64_t MaxCells = 100'000;
constexpr std::int64_t MaxWorkersOfCell = 128;
constexpr double MaxQuotaCores = 1e7;
constexpr std::uint64_t BytesPerMiB = 1 << 20;
constexpr double MilliPerCore = 1000;

bool isPowerOfTwo(std::int32_t Value) {
  return Value > 0 && (Value & (Value - 1)) == 0;
}

void readCell(TomlReader &Table, GuaranteedCell &Cell) {
  Cell.Level = Table.choice("level", Cell.Level);
  Cell.Accelerators =
      static_cast<std::int32_t>(Table.integer("accelerators", 0, 32, 0));
  Cell.Workers = static_cast<std::int32_t>(
      Table.integer("workers", 0, MaxWorkersOfCell, 0));
  Cell.AcceleratorModel = Table.name("model").value_or("");
  Cell.Count =
      static_cast<std::int32_t>(Table.integer("count", 1, MaxCells, 1));
  Cell.Domain = DomainId(Table.name("domain").value_or(""));
  if (Cell.Level == CellLevel::Group && !isPowerOfTwo(Cell.Accelerators)) {
    Table.report("accelerators",
                 "a group must have a power of two accelerators",
                 "use 1, 2, 4, 8, 16 or 32");
  }
  if (Cell.Level == CellLevel::Rack && Cell.Workers < 1)
    Table.report("workers", "a rack cell must specify its number of workers",
                 "add workers = N");
}

void readWorkspace(TomlReader &Table, Workspace &Item) {
  Item.ShareWeight = Table.number("share_weight", 0.001, 1e6, Item.ShareWeight);
  Item.Quota.MilliCores = static_cast<std::int64_t>(
      Table.number("quota_cores", 0, MaxQuotaCores, 0) * MilliPerCore);
  Item.Quota.MemoryMiB =
      static_cast<std::int64_t>(Table.bytes("quota_memory", 0) / BytesPerMiB);
  Item.Quota.Accelerators = static_cast<std::int32_t>(
      Table.integer("quota_accelerators", 0, MaxCells, 0));
  Table.visitTableArray("guarantee", [&](TomlReader &Cell) {
    readCell(Cell, Item.Guarantee.emplace_back());
  });
}

void readDomain(TomlReader &Table, FailureDomain &Item) {
  Item.Region = Table.name("region").value_or("");
  Item.Drain = Table.choice("drain", Item.Drain);
  Item.DrainDeadline = Table.duration("drain_deadline", Item.DrainDeadline);
}

/// Adds the endpoints of one service in one failure domain.
void addEndpoints(TomlReader &Table, const std::string &Domain,
                  const Endpoint &Template, Service &OwningService) {
  std::size_t Number = 0;
  for (const std::string &Address : Table.stringArray(Domain)) {
    Endpoint Item = Template;
    Item.Id = EndpointId(OwningService.Id.str() + "." + Domain + "." +
                         std::to_string(Number++));
    Item.Domain = DomainId(Domain);
    Item.Address = Address;
    if (Address.find(':') == std::string::npos)
      Table.report(Domain, "'" + Address + "' is not an address",
                   "use \"HOST:PORT\" with the host's IP address");
    OwningService.Endpoints.emplace(Item.Id, std::move(Item));
  }
}

} // namespace

void readOperatorDeclaration(TomlReader &File, Configuration &Config) {
  File.visitTables("domain", [&](const std::string &Name, TomlReader &Table) {
    auto [Entry, Added] = Config.Domains.try_emplace(DomainId(Name));
    if (!Added)
      File.report("domain", "domain '" + Name + "' is declared twice",
                  "remove one of the two");
    Entry->second.Id = DomainId(Name);
    readDomain(Table, Entry->second);
  });
  File.visitTables(
      "workspace", [&](const std::string &Name, TomlReader &Table) {
        auto [Entry, Added] = Config.Workspaces.try_emplace(WorkspaceId(Name));
        if (!Added)
          File.report("workspace", "workspace '" + Name + "' is declared twice",
                      "remove one of the two");
        Entry->second.Id = WorkspaceId(Name);
        readWorkspace(Table, Entry->second);
      });
}

void readEndpoints(TomlReader &File, Configuration &Config) {
  File.visitTables(
      "endpoints", [&](const std::string &Name, TomlReader &Table) {
        Endpoint Template;
        Template.Slots = static_cast<std::uint32_t>(
            Table.integer("slots", 1, MaxSlots, Template.Slots));
        Template.Connections = static_cast<std::uint32_t>(
            Table.integer("connections", 1, MaxSlots, Template.Connections));
        auto OwningService = Config.Services.find(ServiceId(Name));
        if (OwningService == Config.Services.end()) {
          Table.report(
              "addresses",
              "endpoints are declared for the unknown service '" + Name + "'",
              "declare the service in its " + std::string("banyanworks.toml"));
          OwningService = Config.Services.try_emplace(ServiceId(Name)).first;
          OwningService->second.Id = ServiceId(Name);
        }
        Table.visitTable("addresses", [&](TomlReader &Addresses) {
          for (const std::string &Domain : Addresses.keys())
            addEndpoints(Addresses, Domain, Template, OwningService->second);
        });
      });
}

} // namespace banyanworks
