/// \file
/// Defines the capacity series of the gossip traffic of a daemon: bytes and
/// messages per second.
#include "bench/CapacitySeries.h"
#include "kernel/Registry.h"
#include "support/MembershipFleet.h"

#include <algorithm>
#include <memory>

namespace banyanworks::bench {

namespace {

constexpr std::size_t DaemonsPerDomain = 8;
constexpr double TargetDaemons = 88;
constexpr double BytesPerKiB = 1024;
constexpr std::uint64_t MeasuredSeconds = 60;
constexpr std::uint64_t WarmUpSeconds = 30;

/// Traffic that one daemon sent and received.
struct Traffic {
  double Bytes = 0;
  double Messages = 0;
};

/// Returns the highest rates of all daemons, in bytes and messages per second.
Traffic peakTraffic(double Daemons, std::uint64_t Seed) {
  auto Domains = static_cast<std::size_t>(Daemons) / DaemonsPerDomain;
  testing::MembershipFleet Fleet(Domains, DaemonsPerDomain, Seed);
  Fleet.advance(std::chrono::seconds(WarmUpSeconds));
  std::vector<Traffic> Before;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Before.push_back({static_cast<double>(Fleet.bytes(I)),
                      static_cast<double>(Fleet.messages(I))});
  Fleet.advance(std::chrono::seconds(MeasuredSeconds));
  Traffic Peak;
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    double Bytes = static_cast<double>(Fleet.bytes(I)) - Before[I].Bytes;
    double Messages =
        static_cast<double>(Fleet.messages(I)) - Before[I].Messages;
    Peak.Bytes = std::max(Peak.Bytes, Bytes);
    Peak.Messages = std::max(Peak.Messages, Messages);
  }
  Peak.Bytes /= MeasuredSeconds;
  Peak.Messages /= MeasuredSeconds;
  return Peak;
}

class GossipSeries : public CapacitySeries {
public:
  std::string role() const override { return "every daemon"; }
  std::string size() const override { return "daemons"; }
  std::vector<double> sizes() const override { return {16, 32, 48, 64, 88}; }
  double targetSize() const override { return TargetDaemons; }
};

class GossipBytes : public GossipSeries {
public:
  std::string cost() const override { return "gossip payload, KiB/s"; }
  double measure(double Size, std::uint64_t Seed) override {
    return peakTraffic(Size, Seed).Bytes / BytesPerKiB;
  }
};

class GossipMessages : public GossipSeries {
public:
  std::string cost() const override { return "gossip messages per second"; }
  double measure(double Size, std::uint64_t Seed) override {
    return peakTraffic(Size, Seed).Messages;
  }
};

using Registration = Registry<CapacitySeries>::Registration;

const Registration Bytes("gossip-bytes",
                         [] { return std::make_unique<GossipBytes>(); });
const Registration Messages("gossip-messages",
                            [] { return std::make_unique<GossipMessages>(); });

} // namespace

} // namespace banyanworks::bench
