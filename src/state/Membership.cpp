/// \file
/// Implements probing, suspicion and the dissemination of member records.
#include "state/Membership.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace banyanworks {

namespace {

/// Transmissions of an update per doubling of the number of members.
constexpr std::uint32_t SendsPerDoubling = 3;
/// Maximum number of suspects that are probed again in one period.
constexpr std::uint32_t MaxSuspectPings = 3;
/// Time for which a member counts as reachable after it responded itself.
constexpr Duration ReachableFor = std::chrono::seconds(6);

} // namespace

struct Membership::Visitor {
  Membership &Machine;
  TimePoint Now;
  Actions &Out;

  void operator()(const MembershipTick &) const { Machine.tick(Now, Out); }
  void operator()(const GossipReceived &Event) const {
    Machine.onMessage(Event.Message, Now, Out);
  }
  void operator()(const HintsReceived &Event) const {
    for (const MemberHint &Hint : Event.Hints) {
      auto MemberEntry = Machine.Members.find(Hint.Daemon);
      if (MemberEntry == Machine.Members.end()) {
        if (Hint.Daemon != Machine.Self.Daemon && !Hint.Leaving)
          Machine.UnverifiedHints[Hint.Daemon] = Hint.Domain;
        continue;
      }
      if (std::exchange(MemberEntry->second.Leaving, Hint.Leaving) !=
          Hint.Leaving)
        Out.emplace_back(MembersChanged{});
    }
  }
  void operator()(const DigestChanged &Event) const {
    Machine.Digest = Event.Digest;
  }
  void operator()(const MembershipShutdown &) const {
    Machine.Stopping = true;
    Machine.Self.State = Liveness::Left;
    for (const auto &[Daemon, Peer] : Machine.Members) {
      if (!Machine.isLive(Peer) || Peer.Record.Domain != Machine.Self.Domain)
        continue;
      Out.emplace_back(
          SendGossip{Daemon, Machine.makeMessage(GossipKind::Ping, 0)});
    }
  }
};

Membership::Membership(MemberRecord Self, std::uint64_t Seed)
    : Membership(std::move(Self), Seed, Options()) {}

Membership::Membership(MemberRecord Self, std::uint64_t Seed,
                       const Options &Settings)
    : Self(std::move(Self)), Settings(Settings), Generator(Seed) {}

std::vector<MembershipAction> Membership::handle(const MembershipEvent &Event,
                                                 TimePoint Now) {
  Actions Out;
  std::visit(Visitor{*this, Now, Out}, Event);
  return Out;
}

void Membership::tick(TimePoint Now, Actions &Out) {
  if (Stopping)
    return;
  expireProbes(Now, Out);
  expireMembers(Now, Out);
  if (Now >= NextLocalProbe) {
    NextLocalProbe = Now + Settings.LocalProbePeriod;
    bool IsOwner = Digest.Owner == Self.Daemon;
    std::uint32_t Count = IsOwner ? Settings.OwnerProbesPerPeriod : 1;
    for (std::uint32_t I = 0; I != Count; ++I)
      probeNext(true, Now, Out);
    pingSuspects(Now, Out);
  }
  if (Now >= NextRemoteProbe) {
    NextRemoteProbe = Now + Settings.RemoteProbePeriod;
    probeNext(false, Now, Out);
  }
  if (Now >= NextDeadProbe) {
    NextDeadProbe = Now + Settings.DeadProbePeriod;
    probeDeadMember(Now, Out);
  }
}

void Membership::probeNext(bool Local, TimePoint Now, Actions &Out) {
  std::vector<DaemonId> &Round = Local ? LocalRound : RemoteRound;
  if (Round.empty()) {
    for (const auto &[Daemon, Peer] : Members)
      if (isLive(Peer) && (Peer.Record.Domain == Self.Domain) == Local)
        Round.push_back(Daemon);
    for (std::size_t I = Round.size(); I > 1; --I)
      std::swap(Round[I - 1],
                Round[Generator.below(static_cast<std::uint32_t>(I))]);
  }
  while (!Round.empty()) {
    DaemonId Target = std::move(Round.back());
    Round.pop_back();
    auto Found = Members.find(Target);
    if (Found == Members.end() || !isLive(Found->second))
      continue;
    probe(Target, Now, Out);
    return;
  }
}

void Membership::probe(const DaemonId &Target, TimePoint Now, Actions &Out) {
  std::uint64_t Number = ++LastNumber;
  Probes[Number] = Probe{Target, Now, false, std::nullopt, 0};
  GossipMessage Ping = makeMessage(GossipKind::Ping, Number);
  // A member can refute its suspected or dead state only if it receives that
  // record.
  auto Found = Members.find(Target);
  if (Found != Members.end() && Found->second.Record.State != Liveness::Alive)
    Ping.Updates.push_back(Found->second.Record);
  Out.emplace_back(SendGossip{Target, std::move(Ping)});
}

void Membership::expireProbes(TimePoint Now, Actions &Out) {
  std::vector<std::uint64_t> Expired;
  for (auto &[Number, Pending] : Probes) {
    Duration Age = Now - Pending.SentAt;
    if (Age >= Settings.ProbeTimeout) {
      Expired.push_back(Number);
      continue;
    }
    bool NeedsPingRequests = Age >= Settings.DirectTimeout &&
                             !Pending.PingRequestsSent && !Pending.Requester;
    if (!NeedsPingRequests || !Settings.UsesIndirectProbes)
      continue;
    Pending.PingRequestsSent = true;
    sendPingRequests(Number, Pending, Out);
  }
  for (std::uint64_t Number : Expired) {
    Probe Pending = std::move(Probes.at(Number));
    Probes.erase(Number);
    auto Found = Members.find(Pending.Target);
    if (Pending.Requester || Found == Members.end() ||
        Found->second.Record.State != Liveness::Alive)
      continue;
    setState(Found->second, Liveness::Suspect, Now, Out);
  }
}

void Membership::sendPingRequests(std::uint64_t Number, const Probe &Pending,
                                  Actions &Out) {
  std::vector<DaemonId> Candidates;
  for (const auto &[Daemon, Peer] : Members)
    if (Peer.Record.State == Liveness::Alive && Daemon != Pending.Target)
      Candidates.push_back(Daemon);
  for (std::uint32_t I = 0; I != Settings.IndirectProbes && !Candidates.empty();
       ++I) {
    auto Index = Generator.below(static_cast<std::uint32_t>(Candidates.size()));
    GossipMessage Request = makeMessage(GossipKind::PingRequest, Number);
    Request.Target = Pending.Target;
    Out.emplace_back(SendGossip{Candidates[Index], std::move(Request)});
    Candidates.erase(Candidates.begin() + Index);
  }
}

void Membership::expireMembers(TimePoint Now, Actions &Out) {
  std::vector<DaemonId> Forgotten;
  for (auto &[Daemon, Peer] : Members) {
    Liveness State = Peer.Record.State;
    bool Local = Peer.Record.Domain == Self.Domain;
    Duration Timeout =
        Local ? Settings.SuspicionTimeout : Settings.RemoteSuspicionTimeout;
    if (State == Liveness::Suspect && Now - Peer.SuspectSince >= Timeout)
      setState(Peer, Liveness::Dead, Now, Out);
    else if (!isLive(Peer) && Now - Peer.DeadSince >= Settings.DeadRetention)
      Forgotten.push_back(Daemon);
  }
  for (const DaemonId &Daemon : Forgotten)
    Members.erase(Daemon);
}

void Membership::pingSuspects(TimePoint Now, Actions &Out) {
  std::uint32_t Remaining = MaxSuspectPings;
  for (auto &[Daemon, Peer] : Members) {
    if (!Peer.SuspectedLocally || Remaining == 0)
      continue;
    --Remaining;
    probe(Daemon, Now, Out);
  }
}

void Membership::probeDeadMember(TimePoint Now, Actions &Out) {
  std::vector<DaemonId> Candidates;
  for (const auto &[Daemon, Peer] : Members)
    if (Peer.Record.State == Liveness::Dead)
      Candidates.push_back(Daemon);
  for (const auto &Entry : UnverifiedHints)
    Candidates.push_back(Entry.first);
  if (Candidates.empty())
    return;
  auto Count = static_cast<std::uint32_t>(Candidates.size());
  probe(Candidates[Generator.below(Count)], Now, Out);
}

void Membership::onMessage(const GossipMessage &Message, TimePoint Now,
                           Actions &Out) {
  const DaemonId &Sender = Message.Sender.Daemon;
  if (Sender == Self.Daemon || Stopping)
    return;
  UnverifiedHints.erase(Sender);
  auto KnownBefore = Members.find(Sender);
  bool SenderIsNew =
      KnownBefore == Members.end() || !isLive(KnownBefore->second) ||
      KnownBefore->second.Record.Process != Message.Sender.Process;
  mergeRecord(Message.Sender, Now, Out);
  auto SenderEntry = Members.find(Sender);
  if (SenderEntry == Members.end() ||
      SenderEntry->second.Record.Process != Message.Sender.Process)
    return;
  for (const MemberRecord &Record : Message.Updates)
    mergeRecord(Record, Now, Out);
  Out.emplace_back(
      DigestReceived{Sender, Message.Sender.Domain, Message.Digest});
  if (Message.Kind == GossipKind::Ping) {
    GossipMessage Ack = makeMessage(GossipKind::Ack, Message.Number);
    if (SenderIsNew)
      Ack.Updates = liveRecords();
    if (SenderEntry->second.Record.State != Liveness::Alive)
      Ack.Updates.push_back(SenderEntry->second.Record);
    Out.emplace_back(SendGossip{Sender, std::move(Ack)});
  } else if (Message.Kind == GossipKind::PingRequest) {
    probe(Message.Target, Now, Out);
    Probe &Pending = Probes[LastNumber];
    Pending.Requester = Sender;
    Pending.RequesterNumber = Message.Number;
  } else {
    onAck(Message, Now, Out);
  }
}

void Membership::onAck(const GossipMessage &Message, TimePoint Now,
                       Actions &Out) {
  auto Found = Probes.find(Message.Number);
  bool Direct = Message.Target.empty();
  const DaemonId &Responder = Direct ? Message.Sender.Daemon : Message.Target;
  if (Found == Probes.end() || Found->second.Target != Responder)
    return;
  Probe Pending = std::move(Found->second);
  Probes.erase(Found);
  auto ResponderEntry = Members.find(Responder);
  if (ResponderEntry != Members.end() && Direct)
    ResponderEntry->second.AnsweredAt = Now;
  if (!Pending.Requester)
    return;
  GossipMessage Relay = makeMessage(GossipKind::Ack, Pending.RequesterNumber);
  Relay.Target = Responder;
  Out.emplace_back(SendGossip{*Pending.Requester, std::move(Relay)});
}

void Membership::mergeRecord(const MemberRecord &Record, TimePoint Now,
                             Actions &Out) {
  if (Record.Daemon == Self.Daemon) {
    refute(Record);
    return;
  }
  auto Found = Members.find(Record.Daemon);
  bool WasKnown = Found != Members.end();
  if (!WasKnown && Record.State >= Liveness::Dead)
    return;
  if (WasKnown && !overrides(Record, Found->second.Record))
    return;
  Member &Peer = Members[Record.Daemon];
  bool WasLive = WasKnown && isLive(Peer);
  Peer.Record = Record;
  Peer.SuspectedLocally = false;
  if (Record.State == Liveness::Suspect)
    Peer.SuspectSince = Now;
  if (!isLive(Peer))
    Peer.DeadSince = Now;
  UnverifiedHints.erase(Record.Daemon);
  disseminate(Record);
  if (WasLive != isLive(Peer))
    Out.emplace_back(MembersChanged{});
}

void Membership::refute(const MemberRecord &Record) {
  Superseded = Superseded || Record.Process > Self.Process;
  bool Contradicts = Record.Process == Self.Process &&
                     Record.State != Liveness::Alive &&
                     Record.Refutation >= Self.Refutation;
  if (!Contradicts || Stopping)
    return;
  Self.Refutation = Record.Refutation + 1;
  disseminate(Self);
}

void Membership::setState(Member &Changed, Liveness State, TimePoint Now,
                          Actions &Out) {
  bool WasLive = isLive(Changed);
  Changed.Record.State = State;
  Changed.SuspectedLocally = State == Liveness::Suspect;
  if (State == Liveness::Suspect)
    Changed.SuspectSince = Now;
  if (State == Liveness::Dead)
    Changed.DeadSince = Now;
  disseminate(Changed.Record);
  if (WasLive != isLive(Changed))
    Out.emplace_back(MembersChanged{});
}

void Membership::disseminate(const MemberRecord &Record) {
  auto Doublings =
      static_cast<std::uint32_t>(std::bit_width(Members.size() + 1));
  Updates[Record.Daemon] = {Record, SendsPerDoubling * Doublings};
}

GossipMessage Membership::makeMessage(GossipKind Kind, std::uint64_t Number) {
  GossipMessage Message;
  Message.Kind = Kind;
  Message.Number = Number;
  Message.Sender = Self;
  Message.Digest = Digest;
  std::vector<Update *> PendingUpdates;
  for (auto &Entry : Updates)
    PendingUpdates.push_back(&Entry.second);
  std::size_t Count =
      std::min(Settings.UpdatesPerMessage, PendingUpdates.size());
  std::partial_sort(
      PendingUpdates.begin(), PendingUpdates.begin() + static_cast<long>(Count),
      PendingUpdates.end(), [](const Update *Left, const Update *Right) {
        return Left->SendsLeft > Right->SendsLeft;
      });
  for (std::size_t I = 0; I != Count; ++I) {
    Message.Updates.push_back(PendingUpdates[I]->Record);
    --PendingUpdates[I]->SendsLeft;
  }
  std::erase_if(Updates,
                [](const auto &Entry) { return Entry.second.SendsLeft == 0; });
  return Message;
}

std::vector<MemberRecord> Membership::liveRecords() const {
  std::vector<MemberRecord> Records;
  for (const auto &Entry : Members)
    if (isLive(Entry.second))
      Records.push_back(Entry.second.Record);
  return Records;
}

std::vector<DaemonId> Membership::liveMembersIn(const DomainId &Domain) const {
  std::vector<DaemonId> Result;
  if (Self.Domain == Domain)
    Result.push_back(Self.Daemon);
  for (const auto &[Daemon, Peer] : Members)
    if (isLive(Peer) && Peer.Record.Domain == Domain)
      Result.push_back(Daemon);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<DaemonId> Membership::liveMembers() const {
  std::vector<DaemonId> Result{Self.Daemon};
  for (const auto &[Daemon, Peer] : Members)
    if (isLive(Peer))
      Result.push_back(Daemon);
  std::sort(Result.begin(), Result.end());
  return Result;
}

bool Membership::isReachable(const DaemonId &Daemon, TimePoint Now) const {
  auto Found = Members.find(Daemon);
  if (Found == Members.end() || !isLive(Found->second))
    return false;
  TimePoint Answered = Found->second.AnsweredAt;
  return Answered != TimePoint::min() && Now - Answered <= ReachableFor;
}

bool Membership::isLeaving(const DaemonId &Daemon) const {
  auto Found = Members.find(Daemon);
  return Found != Members.end() && Found->second.Leaving;
}

} // namespace banyanworks
