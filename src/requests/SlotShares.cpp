/// \file
/// Implements SlotShares.
#include "requests/SlotShares.h"

#include "requests/FairDivision.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A name for what a process that was replaced still holds; never alive.
DaemonId formerIncarnationId(const DaemonId &Daemon, Incarnation Life) {
  return DaemonId(Daemon.str() + "#" + std::to_string(Life.value()));
}

} // namespace

SlotShares::SlotShares(const RouterSettings &Settings, PeerDirectory &Peers)
    : Options(Settings.Peers), Peers(Peers) {}

void SlotShares::setEndpoints(TimePoint Now,
                              const std::map<EndpointId, Endpoint> &Declared,
                              Duration LongestAttempt) {
  if (!HasStarted) {
    StartedAt = Now;
    HasStarted = true;
  }
  AttemptGrace = LongestAttempt;
  std::erase_if(Shares, [&](const auto &Entry) {
    return !Declared.contains(Entry.first) && Entry.second.Busy == 0;
  });
  for (const auto &[Id, Value] : Declared) {
    Share &Current = Shares[Id];
    Current.Slots = std::min(Value.Slots, Value.Connections);
    Current.Domain = Value.Domain;
  }
  HomesDigest = 0;
  refresh(Now);
}

void SlotShares::setSlots(const EndpointId &Id, std::uint32_t Slots) {
  auto Found = Shares.find(Id);
  if (Found != Shares.end())
    Found->second.Slots = Slots;
}

void SlotShares::setWanted(TimePoint Now, const EndpointId &Id,
                           std::uint32_t Wanted) {
  auto Found = Shares.find(Id);
  if (Found == Shares.end())
    return;
  Share &Current = Found->second;
  if (Wanted == Current.Wanted)
    return;
  bool Grows = Wanted > Current.Wanted && Wanted > Current.Granted;
  Current.Wanted = Wanted;
  if (Current.Home == Peers.self())
    divideSlots(Now, Current);
  else if (Grows)
    UrgentPeers.insert(Current.Home);
}

void SlotShares::electHomes(TimePoint Now) {
  std::uint64_t Live = Peers.liveDigest(Now);
  if (Live == HomesDigest)
    return;
  HomesDigest = Live;
  for (auto &[Id, Value] : Shares) {
    std::vector<DaemonId> Order = Peers.rankHomes(Now, Id.str(), Value.Domain);
    DaemonId Home = Order.empty() ? DaemonId() : Order[0];
    Value.Successor = Order.size() > 1 ? Order[1] : DaemonId();
    if (Home == Value.Home)
      continue;
    Value.Home = Home;
    Value.HomeSince = Now;
    if (Home == Peers.self())
      continue;
    UrgentPeers.insert(Home);
  }
}

void SlotShares::refresh(TimePoint Now) {
  electHomes(Now);
  for (auto &[Id, Value] : Shares) {
    dropExpiredHolders(Now, Value);
    if (Value.Home == Peers.self())
      divideSlots(Now, Value);
  }
}

/// True once every live peer has told what it holds to this home, or can hold
/// nothing under a former home's lease.
bool SlotShares::areHoldingsKnown(TimePoint Now, const Share &Value) const {
  if (Now >= Value.HomeSince + Options.SlotLease)
    return true;
  for (const auto &[Id, Known] : Peers.all()) {
    if (!Peers.isAlive(Now, Id) || Known.Leaving)
      continue;
    if (Known.LastReportAt <= Value.HomeSince ||
        Known.LiveDigest != HomesDigest)
      return false;
  }
  return true;
}

/// Forgets holders whose lease and last attempt are surely over.
void SlotShares::dropExpiredHolders(TimePoint Now, Share &Value) {
  std::erase_if(Value.Holders, [&](const auto &Entry) {
    if (Entry.first == Peers.self())
      return false;
    const Holding &Held = Entry.second;
    TimePoint LeaseEnd =
        std::max(Held.LeaseEnd, Held.LastReportAt + Options.SlotLease);
    return Now >= LeaseEnd + AttemptGrace;
  });
}

/// Slots that peers which were never heard may still use.
std::uint32_t SlotShares::slotsPresumedHeld(TimePoint Now,
                                            const Share &Value) const {
  if (Now >= StartedAt + Options.SlotLease + AttemptGrace)
    return 0;
  std::uint32_t Daemons = Peers.all().size() + 1;
  std::uint32_t Silent = 0;
  for (const auto &[Id, Known] : Peers.all())
    Silent += !Known.HasReported;
  return Silent * ((Value.Slots + Daemons - 1) / Daemons);
}

void SlotShares::divideSlots(TimePoint Now, Share &Value) {
  Holding &Own = Value.Holders[Peers.self()];
  Own.Busy = Value.Busy;
  Own.Wanted = Value.Wanted;
  Own.MaxHeld = std::max(Value.Busy, Value.Granted);
  Value.LeaseEnd = Now + Options.SlotLease;
  if (!areHoldingsKnown(Now, Value))
    return;
  std::vector<std::pair<DaemonId, Holding *>> Live;
  std::vector<std::uint32_t> Wants;
  std::uint32_t Used = slotsPresumedHeld(Now, Value);
  std::uint32_t DeadUse = Used;
  for (auto &[Id, Held] : Value.Holders) {
    Used += Held.MaxHeld;
    if (Id != Peers.self() && !Peers.isAlive(Now, Id)) {
      DeadUse += Held.MaxHeld;
      continue;
    }
    Live.emplace_back(Id, &Held);
    Wants.push_back(std::max(Held.Wanted, Held.Busy));
  }
  std::uint32_t ForLive = Value.Slots > DeadUse ? Value.Slots - DeadUse : 0;
  std::vector<std::uint32_t> Targets = fairDivision(ForLive, Wants);
  std::uint32_t Free = Value.Slots > Used ? Value.Slots - Used : 0;
  for (std::size_t Index = 0; Index < Live.size(); ++Index) {
    Holding &Held = *Live[Index].second;
    std::uint32_t Grant = Targets[Index];
    if (Grant > Held.MaxHeld) {
      std::uint32_t Added = std::min(Grant - Held.MaxHeld, Free);
      Free -= Added;
      Grant = Held.MaxHeld + Added;
      Held.MaxHeld = Grant;
    }
    if (Grant != Held.Grant && Live[Index].first != Peers.self())
      UrgentPeers.insert(Live[Index].first);
    Held.Grant = Grant;
  }
  Value.Granted = Own.Grant;
  Own.MaxHeld = std::max(Value.Busy, Own.Grant);
}

std::uint32_t SlotShares::heldNow(TimePoint Now, const Share &Value) const {
  std::uint32_t Leased = Now < Value.LeaseEnd ? Value.Granted : 0;
  return std::max(Leased, Value.Busy);
}

bool SlotShares::canStart(TimePoint Now, const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  if (Found == Shares.end())
    return false;
  const Share &Current = Found->second;
  return Now < Current.LeaseEnd && Current.Busy < Current.Granted;
}

void SlotShares::onAttemptStarted(const EndpointId &Id) { ++Shares[Id].Busy; }

void SlotShares::onAttemptEnded(TimePoint Now, const EndpointId &Id) {
  auto Found = Shares.find(Id);
  if (Found == Shares.end() || Found->second.Busy == 0)
    return;
  Share &Current = Found->second;
  bool ExceededGrant = Current.Busy > Current.Granted;
  --Current.Busy;
  if (!ExceededGrant)
    return;
  if (Current.Home == Peers.self())
    divideSlots(Now, Current);
  else
    UrgentPeers.insert(Current.Home);
}

std::uint32_t SlotShares::held(TimePoint Now, const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  return Found == Shares.end() ? 0 : heldNow(Now, Found->second);
}

std::uint32_t SlotShares::busy(const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  return Found == Shares.end() ? 0 : Found->second.Busy;
}

void SlotShares::takeDemand(TimePoint Now, const PeerReport &Report,
                            Share &Value, const SlotDemand &Demand) {
  Holding &Held = Value.Holders[Report.From];
  if (Held.HolderIncarnation != Report.SenderIncarnation) {
    // An earlier process of that daemon may have left attempts behind.
    if (Held.MaxHeld > 0)
      Value.Holders[formerIncarnationId(Report.From, Held.HolderIncarnation)] =
          Held;
    Held = Holding();
    Held.HolderIncarnation = Report.SenderIncarnation;
  }
  // What the holder told reflects the grants that it had seen; later ones may
  // still raise it.
  std::erase_if(Held.UnseenGrants, [&](const auto &Sent) {
    return Sent.first <= Report.EchoSequence;
  });
  Held.MaxHeld = std::max(Demand.Held, Demand.Busy);
  for (const auto &[Sequence, Grant] : Held.UnseenGrants)
    Held.MaxHeld = std::max(Held.MaxHeld, Grant);
  Held.Busy = Demand.Busy;
  if (Demand.Wanted != Held.Wanted && Value.Home == Peers.self())
    UrgentPeers.insert(Report.From);
  Held.Wanted = Demand.Wanted;
  Held.LastReportAt = Now;
}

void SlotShares::onPeerReport(TimePoint Now, const PeerReport &Report) {
  electHomes(Now);
  std::set<EndpointId> Reported;
  for (const SlotDemand &Demand : Report.Demands) {
    auto Found = Shares.find(Demand.Endpoint);
    if (Found == Shares.end())
      continue;
    Reported.insert(Demand.Endpoint);
    takeDemand(Now, Report, Found->second, Demand);
  }
  // Without an entry the sender holds and wants nothing, if it takes this
  // daemon for the home.
  if (Report.LiveDigest == HomesDigest) {
    for (auto &[Id, Value] : Shares) {
      if (Reported.contains(Id) || !Value.Holders.contains(Report.From))
        continue;
      takeDemand(Now, Report, Value, SlotDemand{Id, 0, 0, 0});
    }
  }
  for (const SlotGrant &Grant : Report.Grants) {
    auto Found = Shares.find(Grant.Endpoint);
    if (Found == Shares.end() || Found->second.Home != Report.From ||
        Report.EchoSequence == 0)
      continue;
    Share &Current = Found->second;
    if (Grant.Granted < Current.Granted)
      UrgentPeers.insert(Report.From);
    Current.Granted = Grant.Granted;
    // Counted from when this daemon asked, so that the home's lease is never
    // the shorter one.
    TimePoint Asked{Duration(Report.EchoSentAt)};
    Current.LeaseEnd = Asked + Options.SlotLease;
  }
}

void SlotShares::addToReport(TimePoint Now, const DaemonId &To,
                             PeerReport &Report) {
  refresh(Now);
  for (auto &[Id, Value] : Shares) {
    std::uint32_t Held = heldNow(Now, Value);
    bool ReceivesDemand = To == Value.Home || To == Value.Successor;
    if (ReceivesDemand && (Held > 0 || Value.Wanted > 0))
      Report.Demands.push_back({Id, Held, Value.Busy, Value.Wanted});
    if (Value.Home != Peers.self())
      continue;
    auto Found = Value.Holders.find(To);
    if (Found == Value.Holders.end() || !areHoldingsKnown(Now, Value))
      continue;
    Holding &Holder = Found->second;
    if (Holder.Grant == 0 && Holder.MaxHeld == 0)
      continue;
    Report.Grants.push_back({Id, Holder.Grant});
    Holder.UnseenGrants.emplace_back(Report.Sequence, Holder.Grant);
    Holder.LeaseEnd = Now + Options.SlotLease;
  }
}

} // namespace banyanworks
