/// \file
/// Defines Membership, a SWIM-style failure detector: a daemon probes a few
/// members per period, requests indirect probes if one does not respond, and
/// suspects a member before it declares it dead.
#ifndef BANYANWORKS_STATE_MEMBERSHIP_H
#define BANYANWORKS_STATE_MEMBERSHIP_H

#include "base/Random.h"
#include "state/Gossip.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace banyanworks {

/// Periodic tick.
struct MembershipTick {};
/// A message from another daemon arrived.
struct GossipReceived {
  GossipMessage Message;
};
/// A daemon that may exist, from the settings or the platform's VM list.
struct MemberHint {
  DaemonId Daemon;
  DomainId Domain;
  /// True if the platform reports that the VM is leaving.
  bool Leaving = false;
};
/// The platform's list of VMs. It lags behind, so it only supplies addresses to
/// probe.
struct HintsReceived {
  std::vector<MemberHint> Hints;
};
/// The digest of this daemon's state for its next messages.
struct DigestChanged {
  MemberDigest Digest;
};
/// This daemon is shutting down.
struct MembershipShutdown {};

using MembershipEvent =
    std::variant<MembershipTick, GossipReceived, HintsReceived, DigestChanged,
                 MembershipShutdown>;

/// Sends a message, which may be lost.
struct SendGossip {
  DaemonId Recipient;
  GossipMessage Message;
};
/// The set of live members, or the set of leaving ones among them, changed.
struct MembersChanged {};
/// A member reported the state that it has in force.
struct DigestReceived {
  DaemonId Daemon;
  DomainId Domain;
  MemberDigest Digest;
};

using MembershipAction =
    std::variant<SendGossip, MembersChanged, DigestReceived>;

/// One daemon's view of the members of the deployment. Members of its own
/// failure domain are local, all others remote.
class Membership {
public:
  struct Options {
    Duration LocalProbePeriod = std::chrono::milliseconds(300);
    Duration RemoteProbePeriod = std::chrono::seconds(1);
    /// Local probes that the owner of a domain sends per period; other daemons
    /// send one.
    std::uint32_t OwnerProbesPerPeriod = 3;
    Duration DirectTimeout = std::chrono::milliseconds(250);
    Duration ProbeTimeout = std::chrono::milliseconds(700);
    std::uint32_t IndirectProbes = 2;
    Duration SuspicionTimeout = std::chrono::milliseconds(1500);
    /// The same for remote members, which updates reach more slowly.
    Duration RemoteSuspicionTimeout = std::chrono::seconds(5);
    /// Interval at which one dead member is probed, because a network partition
    /// may have healed.
    Duration DeadProbePeriod = std::chrono::seconds(2);
    /// Time after which a dead member is removed.
    Duration DeadRetention = std::chrono::minutes(15);
    std::size_t UpdatesPerMessage = 5;
    /// False only in experiments that show which failure indirect probes
    /// prevent.
    bool UsesIndirectProbes = true;
  };

  Membership(MemberRecord Self, std::uint64_t Seed);
  Membership(MemberRecord Self, std::uint64_t Seed, const Options &Settings);

  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       TimePoint Now);

  /// Daemons of a domain that are alive or suspected, including this one,
  /// sorted by name.
  std::vector<DaemonId> liveMembersIn(const DomainId &Domain) const;
  /// All daemons that are alive or suspected, including this one, sorted by
  /// name.
  std::vector<DaemonId> liveMembers() const;
  /// True if the daemon recently responded to a direct probe, so that calls can
  /// reach it.
  bool isReachable(const DaemonId &Daemon, TimePoint Now) const;
  /// True if the platform reports that the daemon's VM is leaving.
  bool isLeaving(const DaemonId &Daemon) const;
  const MemberRecord &self() const { return Self; }
  /// True if a newer process uses this daemon's address, for example after its
  /// VM was replaced. This process must then stop.
  bool isSuperseded() const { return Superseded; }

private:
  struct Visitor;
  struct Member {
    MemberRecord Record;
    bool Leaving = false;
    /// True if this daemon itself raised the suspicion.
    bool SuspectedLocally = false;
    TimePoint SuspectSince;
    TimePoint DeadSince;
    TimePoint AnsweredAt = TimePoint::min();
  };
  struct Probe {
    DaemonId Target;
    TimePoint SentAt;
    bool PingRequestsSent = false;
    /// The daemon that requested this indirect probe, and the number of its
    /// request.
    std::optional<DaemonId> Requester;
    std::uint64_t RequesterNumber = 0;
  };
  struct Update {
    MemberRecord Record;
    std::uint32_t SendsLeft = 0;
  };
  using Actions = std::vector<MembershipAction>;

  void tick(TimePoint Now, Actions &Out);
  void onMessage(const GossipMessage &Message, TimePoint Now, Actions &Out);
  void onAck(const GossipMessage &Message, TimePoint Now, Actions &Out);
  /// Adopts a record if it takes precedence over the known one.
  void mergeRecord(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void refute(const MemberRecord &Record);
  void disseminate(const MemberRecord &Record);
  void probe(const DaemonId &Target, TimePoint Now, Actions &Out);
  void probeNext(bool Local, TimePoint Now, Actions &Out);
  void sendPingRequests(std::uint64_t Number, const Probe &Pending,
                        Actions &Out);
  void expireProbes(TimePoint Now, Actions &Out);
  void expireMembers(TimePoint Now, Actions &Out);
  void pingSuspects(TimePoint Now, Actions &Out);
  void probeDeadMember(TimePoint Now, Actions &Out);
  void setState(Member &Changed, Liveness State, TimePoint Now, Actions &Out);
  GossipMessage makeMessage(GossipKind Kind, std::uint64_t Number);
  std::vector<MemberRecord> liveRecords() const;
  bool isLive(const Member &Peer) const {
    return Peer.Record.State <= Liveness::Suspect;
  }

  MemberRecord Self;
  Options Settings;
  Random Generator;
  MemberDigest Digest;
  std::map<DaemonId, Member> Members;
  /// Hinted daemons that have not sent a message yet.
  std::map<DaemonId, DomainId> UnverifiedHints;
  std::map<std::uint64_t, Probe> Probes;
  std::map<DaemonId, Update> Updates;
  std::vector<DaemonId> LocalRound;
  std::vector<DaemonId> RemoteRound;
  std::uint64_t LastNumber = 0;
  TimePoint NextLocalProbe;
  TimePoint NextRemoteProbe;
  TimePoint NextDeadProbe;
  bool Stopping = false;
  bool Superseded = false;
};

} // namespace banyanworks

#endif
