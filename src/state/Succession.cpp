/// \file
/// Implements the succession order by rendezvous hashing.
#include "state/Succession.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace banyanworks {

namespace {

constexpr unsigned TagBits = 20;

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

std::vector<DaemonId> successionOrder(const DomainId &Domain,
                                      std::vector<DaemonId> Members) {
  std::uint64_t Seed = hashOf(Domain.str(), 0);
  std::sort(Members.begin(), Members.end(),
            [Seed](const DaemonId &Left, const DaemonId &Right) {
              std::uint64_t LeftHash = hashOf(Left.str(), Seed);
              std::uint64_t RightHash = hashOf(Right.str(), Seed);
              return LeftHash != RightHash ? LeftHash > RightHash
                                           : Left < Right;
            });
  return Members;
}

std::size_t successionRank(const std::vector<DaemonId> &Order,
                           const DaemonId &Daemon) {
  auto Found = std::find(Order.begin(), Order.end(), Daemon);
  return static_cast<std::size_t>(Found - Order.begin());
}

DaemonId configurationWatcher(const std::vector<DaemonId> &Order) {
  if (Order.empty())
    return {};
  return Order.size() > 1 ? Order[1] : Order[0];
}

std::uint64_t epochTag(const DaemonId &Daemon) {
  return hashOf(Daemon.str(), 1) & ((1ULL << TagBits) - 1);
}

Epoch makeEpoch(std::uint64_t Counter, const DaemonId &Daemon) {
  return Epoch((Counter << TagBits) | epochTag(Daemon));
}

std::uint64_t epochCounter(Epoch Term) { return Term.value() >> TagBits; }

} // namespace banyanworks
