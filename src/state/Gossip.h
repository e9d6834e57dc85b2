/// \file
/// Defines the gossip messages that carry the liveness of daemons and the state
/// that each has in force.
#ifndef BANYANWORKS_STATE_GOSSIP_H
#define BANYANWORKS_STATE_GOSSIP_H

#include "base/Ids.h"
#include "base/Time.h"
#include "state/Succession.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanworks {

/// The liveness state of a daemon as its observers see it.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead, Left };

/// A statement about one daemon. Of two records about the same daemon, the one
/// with the higher (Process, Refutation, State) takes precedence.
struct MemberRecord {
  DaemonId Daemon;
  DomainId Domain;
  /// Increases when the process restarts or its VM is replaced.
  Incarnation Process;
  /// Incremented when the daemon refutes a suspicion about itself.
  std::uint32_t Refutation = 0;
  Liveness State = Liveness::Alive;

  bool operator==(const MemberRecord &) const = default;
};

/// True if \p Left takes precedence over \p Right.
bool overrides(const MemberRecord &Left, const MemberRecord &Right);

/// The state that a daemon has in force; part of every message that it sends.
struct MemberDigest {
  ConfigVersion Config;
  /// The owner of the sender's domain, as known to the sender.
  DaemonId Owner;
  Epoch Term;
  /// Time since the owner stated its claim, including the delay until the claim
  /// reached the sender.
  Duration OwnerAge{};

  bool operator==(const MemberDigest &) const = default;
};

enum class GossipKind : std::uint8_t {
  /// Requests an Ack with the same number.
  Ping,
  /// States that \ref GossipMessage::Target responded; an empty target means
  /// the
  /// sender.
  Ack,
  /// Requests that the receiver pings the target on behalf of the sender.
  PingRequest,
};

/// One datagram between daemons.
struct GossipMessage {
  GossipKind Kind = GossipKind::Ping;
  std::uint64_t Number = 0;
  MemberRecord Sender;
  DaemonId Target;
  MemberDigest Digest;
  std::vector<MemberRecord> Updates;

  bool operator==(const GossipMessage &) const = default;
};

/// Encodes the message in MessagePack.
std::string encodeGossip(const GossipMessage &Message);

/// Decodes the output of encodeGossip(); returns nothing if the bytes are
/// malformed.
std::optional<GossipMessage> decodeGossip(std::string_view Bytes);

} // namespace banyanworks

#endif
