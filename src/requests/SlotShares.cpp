/// \file
/// Implements SlotShares.
#include "requests/SlotShares.h"

#include "requests/FairDivision.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// The pseudo id under which slots of a replaced incarnation are tracked. No
/// live daemon has such an id.
DaemonId formerIncarnationId(const DaemonId &Daemon,
                             Incarnation FormerIncarnation) {
  return DaemonId(Daemon.str() + "#" +
                  std::to_string(FormerIncarnation.value()));
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
    return !Declared.contains(Entry.first) && Entry.second.BusySlots == 0;
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

void SlotShares::setRequestedSlots(TimePoint Now, const EndpointId &Id,
                                   std::uint32_t Requested) {
  auto Found = Shares.find(Id);
  if (Found == Shares.end())
    return;
  Share &Current = Found->second;
  if (Requested == Current.RequestedSlots)
    return;
  bool Grows =
      Requested > Current.RequestedSlots && Requested > Current.Granted;
  Current.RequestedSlots = Requested;
  if (Current.Home == Peers.self())
    divideSlots(Now, Current);
  else if (Grows)
    UrgentPeers.insert(Current.Home);
}

void SlotShares::electHomes(TimePoint Now) {
  std::uint64_t LiveDigest = Peers.liveDigest(Now);
  if (LiveDigest == HomesDigest)
    return;
  HomesDigest = LiveDigest;
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

/// True if every live peer has reported its slots since this daemon became the
/// home, or all leases of the former home have expired.
bool SlotShares::areHoldingsKnown(TimePoint Now, const Share &Value) const {
  if (Now >= Value.HomeSince + Options.SlotLease)
    return true;
  for (const auto &[Id, Entry] : Peers.all()) {
    if (!Peers.isAlive(Now, Id) || Entry.Draining)
      continue;
    if (Entry.LastReportAt <= Value.HomeSince ||
        Entry.LiveDigest != HomesDigest)
      return false;
  }
  return true;
}

/// Removes holders whose lease has expired and whose attempts have ended.
void SlotShares::dropExpiredHolders(TimePoint Now, Share &Value) {
  std::erase_if(Value.Holders, [&](const auto &Entry) {
    if (Entry.first == Peers.self())
      return false;
    const Holding &Holder = Entry.second;
    TimePoint LeaseEnd =
        std::max(Holder.LeaseEnd, Holder.LastReportAt + Options.SlotLease);
    return Now >= LeaseEnd + AttemptGrace;
  });
}

/// Slots that peers without any report may still use.
std::uint32_t SlotShares::slotsPresumedHeld(TimePoint Now,
                                            const Share &Value) const {
  if (Now >= StartedAt + Options.SlotLease + AttemptGrace)
    return 0;
  std::uint32_t Daemons = Peers.all().size() + 1;
  std::uint32_t UnreportedPeers = 0;
  for (const auto &[Id, Entry] : Peers.all())
    UnreportedPeers += !Entry.HasReported;
  return UnreportedPeers * ((Value.Slots + Daemons - 1) / Daemons);
}

void SlotShares::divideSlots(TimePoint Now, Share &Value) {
  Holding &Own = Value.Holders[Peers.self()];
  Own.BusySlots = Value.BusySlots;
  Own.RequestedSlots = Value.RequestedSlots;
  Own.MaxHeld = std::max(Value.BusySlots, Value.Granted);
  Value.LeaseEnd = Now + Options.SlotLease;
  if (!areHoldingsKnown(Now, Value))
    return;
  std::vector<std::pair<DaemonId, Holding *>> LiveHolders;
  std::vector<std::uint32_t> Demands;
  std::uint32_t UsedSlots = slotsPresumedHeld(Now, Value);
  std::uint32_t DeadHolderSlots = UsedSlots;
  for (auto &[Id, Holder] : Value.Holders) {
    UsedSlots += Holder.MaxHeld;
    if (Id != Peers.self() && !Peers.isAlive(Now, Id)) {
      DeadHolderSlots += Holder.MaxHeld;
      continue;
    }
    LiveHolders.emplace_back(Id, &Holder);
    Demands.push_back(std::max(Holder.RequestedSlots, Holder.BusySlots));
  }
  std::uint32_t LiveHolderSlots =
      Value.Slots > DeadHolderSlots ? Value.Slots - DeadHolderSlots : 0;
  std::vector<std::uint32_t> Targets = fairDivision(LiveHolderSlots, Demands);
  std::uint32_t FreeSlots =
      Value.Slots > UsedSlots ? Value.Slots - UsedSlots : 0;
  for (std::size_t Index = 0; Index < LiveHolders.size(); ++Index) {
    Holding &Holder = *LiveHolders[Index].second;
    std::uint32_t Grant = Targets[Index];
    if (Grant > Holder.MaxHeld) {
      std::uint32_t Added = std::min(Grant - Holder.MaxHeld, FreeSlots);
      FreeSlots -= Added;
      Grant = Holder.MaxHeld + Added;
      Holder.MaxHeld = Grant;
    }
    if (Grant != Holder.Grant && LiveHolders[Index].first != Peers.self())
      UrgentPeers.insert(LiveHolders[Index].first);
    Holder.Grant = Grant;
  }
  Value.Granted = Own.Grant;
  Own.MaxHeld = std::max(Value.BusySlots, Own.Grant);
}

std::uint32_t SlotShares::currentHeldSlots(TimePoint Now,
                                           const Share &Value) const {
  std::uint32_t Leased = Now < Value.LeaseEnd ? Value.Granted : 0;
  return std::max(Leased, Value.BusySlots);
}

bool SlotShares::canStart(TimePoint Now, const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  if (Found == Shares.end())
    return false;
  const Share &Current = Found->second;
  return Now < Current.LeaseEnd && Current.BusySlots < Current.Granted;
}

void SlotShares::onAttemptStarted(const EndpointId &Id) {
  ++Shares[Id].BusySlots;
}

void SlotShares::onAttemptEnded(TimePoint Now, const EndpointId &Id) {
  auto Found = Shares.find(Id);
  if (Found == Shares.end() || Found->second.BusySlots == 0)
    return;
  Share &Current = Found->second;
  bool ExceededGrant = Current.BusySlots > Current.Granted;
  --Current.BusySlots;
  if (!ExceededGrant)
    return;
  if (Current.Home == Peers.self())
    divideSlots(Now, Current);
  else
    UrgentPeers.insert(Current.Home);
}

std::uint32_t SlotShares::heldSlots(TimePoint Now, const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  return Found == Shares.end() ? 0 : currentHeldSlots(Now, Found->second);
}

std::uint32_t SlotShares::busySlots(const EndpointId &Id) const {
  auto Found = Shares.find(Id);
  return Found == Shares.end() ? 0 : Found->second.BusySlots;
}

void SlotShares::recordDemand(TimePoint Now, const PeerReport &Report,
                              Share &Value, const SlotDemand &Demand) {
  Holding &Holder = Value.Holders[Report.Sender];
  if (Holder.HolderIncarnation != Report.SenderIncarnation) {
    // Attempts of the earlier incarnation may still run.
    if (Holder.MaxHeld > 0)
      Value.Holders[formerIncarnationId(Report.Sender,
                                        Holder.HolderIncarnation)] = Holder;
    Holder = Holding();
    Holder.HolderIncarnation = Report.SenderIncarnation;
  }
  // The report reflects the grants that the holder had received. Grants sent
  // later may still raise what it holds.
  std::erase_if(Holder.UnseenGrants, [&](const auto &UnseenGrant) {
    return UnseenGrant.first <= Report.EchoSequence;
  });
  Holder.MaxHeld = std::max(Demand.HeldSlots, Demand.BusySlots);
  for (const auto &[Sequence, Grant] : Holder.UnseenGrants)
    Holder.MaxHeld = std::max(Holder.MaxHeld, Grant);
  Holder.BusySlots = Demand.BusySlots;
  if (Demand.RequestedSlots != Holder.RequestedSlots &&
      Value.Home == Peers.self())
    UrgentPeers.insert(Report.Sender);
  Holder.RequestedSlots = Demand.RequestedSlots;
  Holder.LastReportAt = Now;
}

void SlotShares::onPeerReport(TimePoint Now, const PeerReport &Report) {
  electHomes(Now);
  std::set<EndpointId> Reported;
  for (const SlotDemand &Demand : Report.Demands) {
    auto Found = Shares.find(Demand.Endpoint);
    if (Found == Shares.end())
      continue;
    Reported.insert(Demand.Endpoint);
    recordDemand(Now, Report, Found->second, Demand);
  }
  // If the sender agrees on the homes, a missing entry means that it holds and
  // wants no slots.
  if (Report.LiveDigest == HomesDigest) {
    for (auto &[Id, Value] : Shares) {
      if (Reported.contains(Id) || !Value.Holders.contains(Report.Sender))
        continue;
      recordDemand(Now, Report, Value, SlotDemand{Id, 0, 0, 0});
    }
  }
  for (const SlotGrant &Grant : Report.Grants) {
    auto Found = Shares.find(Grant.Endpoint);
    if (Found == Shares.end() || Found->second.Home != Report.Sender ||
        Report.EchoSequence == 0)
      continue;
    Share &Current = Found->second;
    if (Grant.Granted < Current.Granted)
      UrgentPeers.insert(Report.Sender);
    Current.Granted = Grant.Granted;
    // The lease starts when this daemon sent the echoed report, so that it
    // never ends later than the home assumes.
    TimePoint RequestedAt{Duration(Report.EchoSentAt)};
    Current.LeaseEnd = RequestedAt + Options.SlotLease;
  }
}

void SlotShares::addToReport(TimePoint Now, const DaemonId &Recipient,
                             PeerReport &Report) {
  refresh(Now);
  for (auto &[Id, Value] : Shares) {
    std::uint32_t SlotsHeld = currentHeldSlots(Now, Value);
    bool ReceivesDemand =
        Recipient == Value.Home || Recipient == Value.Successor;
    if (ReceivesDemand && (SlotsHeld > 0 || Value.RequestedSlots > 0))
      Report.Demands.push_back(
          {Id, SlotsHeld, Value.BusySlots, Value.RequestedSlots});
    if (Value.Home != Peers.self())
      continue;
    auto Found = Value.Holders.find(Recipient);
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
