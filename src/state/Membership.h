/// \file
/// Defines Membership, by which a daemon learns which others are alive: it
/// pings a few in turn, asks others to ping where no answer came, and suspects
/// before it gives up.
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

/// Time passed.
struct MembershipTick {};
/// A message of another daemon arrived.
struct GossipReceived {
  GossipMessage Message;
};
/// An address at which a daemon may be, from settings or the platform's list.
struct MemberHint {
  DaemonId Daemon;
  DomainId Domain;
  /// True if the platform says that the VM is leaving.
  bool Leaving = false;
};
/// The platform's list of VMs; it lags, so it only tells whom to try.
struct HintsReceived {
  std::vector<MemberHint> Hints;
};
/// What this daemon has in force, for its next messages.
struct DigestChanged {
  MemberDigest Digest;
};
/// This daemon is about to stop.
struct MembershipShutdown {};

using MembershipEvent =
    std::variant<MembershipTick, GossipReceived, HintsReceived, DigestChanged,
                 MembershipShutdown>;

/// Sends a message; it may be lost.
struct SendGossip {
  DaemonId To;
  GossipMessage Message;
};
/// The set of live members, or who of them is leaving, changed.
struct MembersChanged {};
/// A member said what it has in force.
struct DigestReceived {
  DaemonId Daemon;
  DomainId Domain;
  MemberDigest Digest;
};

using MembershipAction =
    std::variant<SendGossip, MembersChanged, DigestReceived>;

/// The members of the deployment as one daemon sees them.
class Membership {
public:
  struct Options {
    Duration LocalProbePeriod = std::chrono::milliseconds(300);
    Duration RemoteProbePeriod = std::chrono::seconds(1);
    /// Pings of the owner to its domain in each period; others send one.
    std::uint32_t OwnerProbesPerPeriod = 3;
    Duration DirectTimeout = std::chrono::milliseconds(250);
    Duration ProbeTimeout = std::chrono::milliseconds(700);
    std::uint32_t IndirectProbes = 2;
    Duration SuspicionTimeout = std::chrono::milliseconds(1500);
    /// The same for members of other domains, to which word takes longer.
    Duration RemoteSuspicionTimeout = std::chrono::seconds(5);
    /// Dead members are pinged this often, one at a time, as a cut may heal.
    Duration DeadProbePeriod = std::chrono::seconds(2);
    /// Dead members are forgotten after this time.
    Duration DeadRetention = std::chrono::minutes(15);
    std::size_t UpdatesPerMessage = 5;
    /// False only to show what indirect confirmation prevents.
    bool UsesIndirectProbes = true;
  };

  Membership(MemberRecord Self, std::uint64_t Seed);
  Membership(MemberRecord Self, std::uint64_t Seed, const Options &Settings);

  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       TimePoint Now);

  /// Daemons of a domain that are alive or suspected, this one included, in
  /// the order of their names.
  std::vector<DaemonId> liveMembersIn(const DomainId &Domain) const;
  /// All daemons that are alive or suspected, this one included.
  std::vector<DaemonId> liveMembers() const;
  /// True if the daemon itself answered lately, so that it can be called.
  bool isReachable(const DaemonId &Daemon, TimePoint Now) const;
  /// True if the platform says that the daemon's VM is leaving.
  bool isLeaving(const DaemonId &Daemon) const;
  const MemberRecord &self() const { return Self; }
  /// True if a newer process serves under this daemon's address, as after its
  /// VM was replaced; this one must stop.
  bool isSuperseded() const { return Superseded; }

private:
  struct Visitor;
  struct Member {
    MemberRecord Record;
    bool Leaving = false;
    /// True if the suspicion is this daemon's own.
    bool SuspectedLocally = false;
    TimePoint SuspectSince;
    TimePoint DeadSince;
    TimePoint AnsweredAt = TimePoint::min();
  };
  struct Probe {
    DaemonId Target;
    TimePoint SentAt;
    bool PingRequestsSent = false;
    /// Who asked for it, and under which number.
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
  /// Takes a record over if it overrides what is known.
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
  bool isLive(const Member &Each) const {
    return Each.Record.State <= Liveness::Suspect;
  }

  MemberRecord Self;
  Options Settings;
  Random Generator;
  MemberDigest Digest;
  std::map<DaemonId, Member> Members;
  /// Addresses that have not answered yet.
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
