/// \file
/// Defines the capacity series of the configuration that every daemon holds:
/// encoded size, heap usage and decoding time.
#include "bench/CapacitySeries.h"
#include "edge/PackedText.h"
#include "kernel/Registry.h"
#include "model/Configuration.h"
#include "model/ConfigurationJson.h"

#include <memory>

namespace banyanworks::bench {

namespace {

constexpr double TargetWorkspaces = 300;
constexpr double BytesPerKiB = 1024;
constexpr double MillisPerSecond = 1e3;
constexpr int Repetitions = 20;
constexpr std::uint32_t EndpointsPerService = 48;

/// Returns a configuration with one service per workspace. Every thirtieth
/// service has 48 endpoints; the others have none.
Configuration syntheticConfiguration(std::uint32_t Workspaces) {
  Configuration Config;
  Config.Version = ConfigVersion(1);
  for (std::uint32_t I = 0; I < 11; ++I) {
    DomainId Id("domain-" + std::to_string(I));
    Config.Domains[Id].Id = Id;
  }
  for (std::uint32_t I = 0; I < Workspaces; ++I) {
    Workspace NewWorkspace;
    NewWorkspace.Id = WorkspaceId("workspace-" + std::to_string(I));
    for (std::int32_t Size : {1, 4, 8}) {
      NewWorkspace.Guarantee.push_back(
          {CellLevel::Group, Size, 0, "model-a", 2,
           DomainId("domain-" + std::to_string(I % 11))});
    }
    Config.Workspaces[NewWorkspace.Id] = NewWorkspace;
    Service NewService;
    NewService.Id = ServiceId("service-" + std::to_string(I));
    NewService.Workspace = NewWorkspace.Id;
    for (const char *Name : {"read", "total", "submit", "price"}) {
      NewService.Methods[MethodId(Name)].Id = MethodId(Name);
      NewService.JobKinds[JobKindId(Name)].Id = JobKindId(Name);
    }
    std::uint32_t Endpoints = I % 30 == 0 ? EndpointsPerService : 0;
    for (std::uint32_t E = 0; E < Endpoints; ++E) {
      Endpoint NewEndpoint;
      NewEndpoint.Id =
          EndpointId(NewService.Id.str() + "." + std::to_string(E));
      NewEndpoint.Domain = DomainId("domain-" + std::to_string(E % 11));
      NewEndpoint.Address = "127.0.0.1:" + std::to_string(10'000 + E);
      NewService.Endpoints[NewEndpoint.Id] = NewEndpoint;
    }
    Config.Services[NewService.Id] = std::move(NewService);
  }
  return Config;
}

class ConfigurationSeries : public CapacitySeries {
public:
  std::string role() const override { return "every daemon"; }
  std::string size() const override { return "workspaces"; }
  std::vector<double> sizes() const override {
    return {75, 150, 300, 600, 1200};
  }
  double targetSize() const override { return TargetWorkspaces; }
};

class ConfigurationBytes : public ConfigurationSeries {
public:
  std::string cost() const override { return "one version, KiB"; }
  double measure(double Size, std::uint64_t) override {
    Configuration Config =
        syntheticConfiguration(static_cast<std::uint32_t>(Size));
    return static_cast<double>(configurationToJson(Config).size()) /
           BytesPerKiB;
  }
};

class ConfigurationPacked : public ConfigurationSeries {
public:
  std::string cost() const override {
    return "one packed version as sent, KiB";
  }
  double measure(double Size, std::uint64_t) override {
    Configuration Config =
        syntheticConfiguration(static_cast<std::uint32_t>(Size));
    std::string Packed = packText(configurationToJson(Config));
    return static_cast<double>(Packed.size()) / BytesPerKiB;
  }
};

class ConfigurationMemory : public ConfigurationSeries {
public:
  std::string cost() const override { return "heap of one version, KiB"; }
  double measure(double Size, std::uint64_t) override {
    double Before = heapBytes();
    Configuration Config =
        syntheticConfiguration(static_cast<std::uint32_t>(Size));
    return (heapBytes() - Before) / BytesPerKiB;
  }
};

class ConfigurationTime : public ConfigurationSeries {
public:
  std::string cost() const override {
    return "processor time to decode a version, ms";
  }
  double measure(double Size, std::uint64_t) override {
    std::string Text = configurationToJson(
        syntheticConfiguration(static_cast<std::uint32_t>(Size)));
    double Before = processorSeconds();
    for (int I = 0; I < Repetitions; ++I)
      if (!configurationFromJson(Text))
        return -1;
    return (processorSeconds() - Before) * MillisPerSecond / Repetitions;
  }
};

using Registration = Registry<CapacitySeries>::Registration;

const Registration Bytes("configuration-bytes",
                         [] { return std::make_unique<ConfigurationBytes>(); });
const Registration Packed("configuration-packed", [] {
  return std::make_unique<ConfigurationPacked>();
});
const Registration Memory("configuration-memory", [] {
  return std::make_unique<ConfigurationMemory>();
});
const Registration Time("configuration-time",
                        [] { return std::make_unique<ConfigurationTime>(); });

} // namespace

} // namespace banyanworks::bench
