/// \file
/// Defines the order in which the daemons of a failure domain are candidates
/// for its roles. Every daemon computes the same order from the same members.
#ifndef BANYANWORKS_STATE_SUCCESSION_H
#define BANYANWORKS_STATE_SUCCESSION_H

#include "base/Ids.h"

#include <cstddef>
#include <vector>

namespace banyanworks {

/// Returns the members by descending hash of domain and daemon (rendezvous
/// hashing). The order differs per domain, so that roles spread over the
/// daemons, and a member that leaves does not change the relative order of the
/// others.
std::vector<DaemonId> successionOrder(const DomainId &Domain,
                                      std::vector<DaemonId> Members);

/// The zero-based position of \p Daemon in the order; the number of members if
/// it is not a member.
std::size_t successionRank(const std::vector<DaemonId> &Order,
                           const DaemonId &Daemon);

/// The daemon that watches the configuration for the domain: the second in the
/// order, so that it differs from the owner if there are at least two daemons.
DaemonId configurationWatcher(const std::vector<DaemonId> &Order);

/// A 20-bit hash that distinguishes the epochs of a daemon from those of
/// others.
std::uint64_t epochTag(const DaemonId &Daemon);

/// Combines a counter with the tag of the daemon that takes the epoch. Without
/// the store, two daemons may take the same counter; the tag then orders them.
Epoch makeEpoch(std::uint64_t Counter, const DaemonId &Daemon);

/// The counter of an epoch.
std::uint64_t epochCounter(Epoch Term);

} // namespace banyanworks

#endif
