/// \file
/// Implements what RequestRouter::Impl learns from configuration, endpoints and
/// peers, and what it tells them.
#include "requests/RouterCore.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

/// Slots wished for beyond those in use, as a part of them.
constexpr double Headroom = 0.25;
/// Demands are worked out anew after this span even if nothing changed.
constexpr Duration DemandPeriod = std::chrono::milliseconds(200);

} // namespace

EndpointId RequestRouter::Impl::limitId(const MethodId &Id) const {
  return EndpointId("limit/" + Id.str());
}

void RequestRouter::Impl::onEvent(TimePoint Now, const EndpointStatus &Event) {
  Pool.setStatus(Now, Event);
}

void RequestRouter::Impl::onEvent(TimePoint Now,
                                  const ConfigurationChanged &Event) {
  auto Found = Event.Config->Services.find(Settings.Service);
  bool Known = Found != Event.Config->Services.end();
  Declared = Known ? Found->second : Service();
  Workspaces.clear();
  for (const auto &[Id, Value] : Event.Config->Workspaces) {
    Workspaces.insert(Id);
    Queue.setWeight(Id, Value.ShareWeight);
  }
  Rates.setMethods(Declared.Methods);
  Pool.setEndpoints(Declared.Endpoints);
  // Limits of concurrency are shared out as the slots of endpoints are.
  std::map<EndpointId, Endpoint> Shared = Declared.Endpoints;
  Duration Longest{};
  for (const auto &[Id, Value] : Declared.Methods) {
    Longest = std::max(Longest, Value.Deadline);
    if (Value.ConcurrencyLimit == 0)
      continue;
    Endpoint &Limit = Shared[limitId(Id)];
    Limit.Slots = Value.ConcurrencyLimit;
    Limit.Connections = Value.ConcurrencyLimit;
  }
  Shares.setEndpoints(Now, Shared, Longest);
  DemandedAttempts = 0;
  DemandedAt = TimePoint();
  shareLimits(Now);
}

void RequestRouter::Impl::shareLimits(TimePoint Now) {
  for (const auto &[Id, Value] : Declared.Methods)
    if (Value.ConcurrencyLimit > 0)
      Shares.setWanted(Now, limitId(Id), OpenByMethod[Id] + 1);
}

void RequestRouter::Impl::onEvent(TimePoint Now, const PeersChanged &Event) {
  Peers.setPeers(Event.Peers);
  Rates.setDaemonCount(Event.Peers.size() + 1);
  std::erase_if(Channels, [&](const auto &Entry) {
    return !Peers.all().contains(Entry.first);
  });
  for (const auto &[Id, Known] : Peers.all())
    Channels.try_emplace(Id);
  Shares.refresh(Now);
}

void RequestRouter::Impl::onEvent(TimePoint Now,
                                  const PeerMessageReceived &Event) {
  std::visit([&](const auto &Message) { onMessage(Now, Message); },
             Event.Message);
}

void RequestRouter::Impl::onEvent(TimePoint Now, const Shutdown &) {
  if (ShutdownAt)
    return;
  ShutdownAt = Now;
  Peers.leave();
  Shares.refresh(Now);
  // Peers take over as homes as soon as they hear of it.
  for (auto &[Id, Value] : Channels)
    Value.EverSent = false;
}

void RequestRouter::Impl::onEvent(TimePoint Now, const Tick &) {
  Shares.refresh(Now);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const PeerReport &Report) {
  if (!Peers.recordReport(Now, Report))
    return;
  PeerReport ForThis = Report;
  // An echo of an earlier process here says nothing about this one.
  if (Report.EchoIncarnation != Settings.SelfIncarnation)
    ForThis.EchoSequence = 0;
  Shares.onPeerReport(Now, ForThis);
  Pool.onPeerReport(Now, Report);
  Rates.onPeerReport(Now, Report);
  Shares.refresh(Now);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const ClaimRequest &Ask) {
  for (const Claim &Wish : Ask.Claims)
    Log.requestClaim(Now, Ask.From, Wish);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const ClaimReport &Report) {
  for (const ClaimOutcome &Outcome : Report.Outcomes)
    Log.reportOutcome(Now, Report.From, Outcome);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const ClaimReply &Reply) {
  for (const ClaimDecision &Verdict : Reply.Decisions)
    onClaimDecision(Now, Verdict);
  for (const ClaimIdentity &Identity : Reply.Acknowledged)
    Claims.onAcknowledged(Identity);
}

/// Tells the homes how many slots this daemon could use.
void RequestRouter::Impl::demandSlots(TimePoint Now) {
  std::uint32_t Running = ByAttempt.size();
  auto Spare = static_cast<std::uint32_t>(std::ceil(Running * Headroom));
  std::uint32_t Wish = Running + Queue.size() + Spare;
  Duration Since = Now - DemandedAt;
  if (Wish == DemandedAttempts && Since < DemandPeriod)
    return;
  if (Since < Settings.Peers.UrgentPeriod)
    return;
  auto Daemons = static_cast<double>(Peers.all().size() + 1);
  double Idle = Settings.Peers.IdleShare * Pool.usableSlots(Now) / Daemons;
  auto IdleSlots = static_cast<std::uint32_t>(std::max(1.0, std::floor(Idle)));
  DemandedAttempts = Wish;
  DemandedAt = Now;
  Pool.distributeDemand(Now, Wish, IdleSlots);
  dispatch(Now);
}

void RequestRouter::Impl::sendReports(TimePoint Now) {
  const PeerOptions &Options = Settings.Peers;
  for (auto &[Id, Value] : Channels) {
    bool Hurry = Shares.urgentPeers().contains(Id);
    Duration Span = Hurry ? Options.UrgentPeriod : Options.ReportPeriod;
    if (Value.EverSent && Now < Value.LastSent + Span)
      continue;
    sendReport(Now, Id);
  }
}

void RequestRouter::Impl::sendReport(TimePoint Now, const DaemonId &To) {
  Channel &Line = Channels[To];
  Line.LastSent = Now;
  Line.EverSent = true;
  ++Line.Sequence;
  const Peer &Known = Peers.all().at(To);
  PeerReport Report;
  Report.Service = Settings.Service;
  Report.From = Settings.Self;
  Report.SenderIncarnation = Settings.SelfIncarnation;
  Report.Domain = Settings.Domain;
  Report.Sequence = Line.Sequence;
  Report.SentAt = Now.time_since_epoch().count();
  Report.EchoIncarnation = Known.LastIncarnation;
  Report.EchoSequence = Known.LastSequence;
  Report.EchoSentAt = Known.LastSentAt;
  Report.LiveDigest = Peers.liveDigest(Now);
  Report.Leaving = Peers.leaving();
  Shares.addToReport(Now, To, Report);
  Pool.addToReport(Now, Report);
  Rates.addToReport(Now, Report);
  Shares.clearUrgent(To);
  Actions.push_back(SendPeerMessage{To, std::move(Report)});
}

} // namespace banyanworks
