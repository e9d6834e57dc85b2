/// \file
/// Implements pinging, suspicion and the spreading of what is learned.
#include "state/Membership.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace banyanworks {

namespace {

/// Each update is passed on this many times for each doubling of the members.
constexpr std::uint32_t SendsPerDoubling = 3;
/// Suspects that are pinged again in one period.
constexpr std::uint32_t MaxSuspectPings = 3;
/// A member counts as reachable this long after its own answer.
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
      auto Known = Machine.Members.find(Hint.Daemon);
      if (Known == Machine.Members.end()) {
        if (Hint.Daemon != Machine.Self.Daemon && !Hint.Leaving)
          Machine.UnverifiedHints[Hint.Daemon] = Hint.Domain;
        continue;
      }
      if (std::exchange(Known->second.Leaving, Hint.Leaving) != Hint.Leaving)
        Out.emplace_back(MembersChanged{});
    }
  }
  void operator()(const DigestChanged &Event) const {
    Machine.Digest = Event.Digest;
  }
  void operator()(const MembershipShutdown &) const {
    Machine.Stopping = true;
    Machine.Self.State = Liveness::Left;
    for (const auto &[Daemon, Each] : Machine.Members) {
      if (!Machine.isLive(Each) || Each.Record.Domain != Machine.Self.Domain)
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
    for (const auto &[Daemon, Each] : Members)
      if (isLive(Each) && (Each.Record.Domain == Self.Domain) == Local)
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
  // A member that is not taken to be alive has to hear it to contradict.
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
  for (const auto &[Daemon, Each] : Members)
    if (Each.Record.State == Liveness::Alive && Daemon != Pending.Target)
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
  for (auto &[Daemon, Each] : Members) {
    Liveness State = Each.Record.State;
    bool Local = Each.Record.Domain == Self.Domain;
    Duration Timeout =
        Local ? Settings.SuspicionTimeout : Settings.RemoteSuspicionTimeout;
    if (State == Liveness::Suspect && Now - Each.SuspectSince >= Timeout)
      setState(Each, Liveness::Dead, Now, Out);
    else if (!isLive(Each) && Now - Each.DeadSince >= Settings.DeadRetention)
      Forgotten.push_back(Daemon);
  }
  for (const DaemonId &Daemon : Forgotten)
    Members.erase(Daemon);
}

void Membership::pingSuspects(TimePoint Now, Actions &Out) {
  std::uint32_t Remaining = MaxSuspectPings;
  for (auto &[Daemon, Each] : Members) {
    if (!Each.SuspectedLocally || Remaining == 0)
      continue;
    --Remaining;
    probe(Daemon, Now, Out);
  }
}

void Membership::probeDeadMember(TimePoint Now, Actions &Out) {
  std::vector<DaemonId> Candidates;
  for (const auto &[Daemon, Each] : Members)
    if (Each.Record.State == Liveness::Dead)
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
  const DaemonId &Sender = Message.From.Daemon;
  if (Sender == Self.Daemon || Stopping)
    return;
  UnverifiedHints.erase(Sender);
  auto KnownBefore = Members.find(Sender);
  bool SenderIsNew = KnownBefore == Members.end() ||
                     !isLive(KnownBefore->second) ||
                     KnownBefore->second.Record.Process != Message.From.Process;
  mergeRecord(Message.From, Now, Out);
  auto Known = Members.find(Sender);
  if (Known == Members.end() ||
      Known->second.Record.Process != Message.From.Process)
    return;
  for (const MemberRecord &Record : Message.Updates)
    mergeRecord(Record, Now, Out);
  Out.emplace_back(DigestReceived{Sender, Message.From.Domain, Message.Digest});
  if (Message.Kind == GossipKind::Ping) {
    GossipMessage Ack = makeMessage(GossipKind::Ack, Message.Number);
    if (SenderIsNew)
      Ack.Updates = liveRecords();
    if (Known->second.Record.State != Liveness::Alive)
      Ack.Updates.push_back(Known->second.Record);
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
  const DaemonId &Responder = Direct ? Message.From.Daemon : Message.Target;
  if (Found == Probes.end() || Found->second.Target != Responder)
    return;
  Probe Pending = std::move(Found->second);
  Probes.erase(Found);
  auto Known = Members.find(Responder);
  if (Known != Members.end() && Direct)
    Known->second.AnsweredAt = Now;
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
  bool Known = Found != Members.end();
  if (!Known && Record.State >= Liveness::Dead)
    return;
  if (Known && !overrides(Record, Found->second.Record))
    return;
  Member &Each = Members[Record.Daemon];
  bool WasLive = Known && isLive(Each);
  Each.Record = Record;
  Each.SuspectedLocally = false;
  if (Record.State == Liveness::Suspect)
    Each.SuspectSince = Now;
  if (!isLive(Each))
    Each.DeadSince = Now;
  UnverifiedHints.erase(Record.Daemon);
  disseminate(Record);
  if (WasLive != isLive(Each))
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
  Message.From = Self;
  Message.Digest = Digest;
  std::vector<Update *> Waiting;
  for (auto &Entry : Updates)
    Waiting.push_back(&Entry.second);
  std::size_t Count = std::min(Settings.UpdatesPerMessage, Waiting.size());
  std::partial_sort(Waiting.begin(), Waiting.begin() + static_cast<long>(Count),
                    Waiting.end(), [](const Update *Left, const Update *Right) {
                      return Left->SendsLeft > Right->SendsLeft;
                    });
  for (std::size_t I = 0; I != Count; ++I) {
    Message.Updates.push_back(Waiting[I]->Record);
    --Waiting[I]->SendsLeft;
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
  for (const auto &[Daemon, Each] : Members)
    if (isLive(Each) && Each.Record.Domain == Domain)
      Result.push_back(Daemon);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<DaemonId> Membership::liveMembers() const {
  std::vector<DaemonId> Result{Self.Daemon};
  for (const auto &[Daemon, Each] : Members)
    if (isLive(Each))
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
