/// \file
/// Implements the exchange of RequestRouter::Impl with peers, and its handling
/// of changes of the configuration and of endpoints.
#include "requests/RouterCore.h"

#include <algorithm>
#include <cmath>

namespace banyanworks {

namespace {

/// Slots demanded in addition to those in use, as a fraction of them.
constexpr double DemandHeadroom = 0.25;
/// Unchanged demand is recomputed and distributed again after this time.
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
  bool IsDeclared = Found != Event.Config->Services.end();
  Declared = IsDeclared ? Found->second : Service();
  Workspaces.clear();
  for (const auto &[Id, Value] : Event.Config->Workspaces) {
    Workspaces.insert(Id);
    Queue.setWeight(Id, Value.ShareWeight);
  }
  Rates.setMethods(Declared.Methods);
  Pool.setEndpoints(Declared.Endpoints);
  // Concurrency limits are divided like the slots of an endpoint.
  std::map<EndpointId, Endpoint> Shared = Declared.Endpoints;
  Duration LongestAttempt{};
  for (const auto &[Id, Value] : Declared.Methods) {
    LongestAttempt = std::max(LongestAttempt, Value.Deadline);
    if (Value.ConcurrencyLimit == 0)
      continue;
    Endpoint &Limit = Shared[limitId(Id)];
    Limit.Slots = Value.ConcurrencyLimit;
    Limit.Connections = Value.ConcurrencyLimit;
  }
  Shares.setEndpoints(Now, Shared, LongestAttempt);
  DemandedAttempts = 0;
  DemandedAt = TimePoint();
  shareLimits(Now);
}

void RequestRouter::Impl::shareLimits(TimePoint Now) {
  for (const auto &[Id, Value] : Declared.Methods)
    if (Value.ConcurrencyLimit > 0)
      Shares.setRequestedSlots(Now, limitId(Id), OpenByMethod[Id] + 1);
}

void RequestRouter::Impl::onEvent(TimePoint Now, const PeersChanged &Event) {
  Peers.setPeers(Event.Peers);
  Rates.setDaemonCount(Event.Peers.size() + 1);
  std::erase_if(Channels, [&](const auto &Entry) {
    return !Peers.all().contains(Entry.first);
  });
  for (const auto &[Id, Entry] : Peers.all())
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
  Peers.startDraining();
  Shares.refresh(Now);
  // Report to all peers at once, so that they take over as homes.
  for (auto &[Id, Value] : Channels)
    Value.HasSent = false;
}

void RequestRouter::Impl::onEvent(TimePoint Now, const Tick &) {
  Shares.refresh(Now);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const PeerReport &Report) {
  if (!Peers.recordReport(Now, Report))
    return;
  PeerReport ForThis = Report;
  // Ignore echoes of an earlier incarnation of this daemon.
  if (Report.EchoIncarnation != Settings.SelfIncarnation)
    ForThis.EchoSequence = 0;
  Shares.onPeerReport(Now, ForThis);
  Pool.onPeerReport(Now, Report);
  Rates.onPeerReport(Now, Report);
  Shares.refresh(Now);
}

void RequestRouter::Impl::onMessage(TimePoint Now,
                                    const ClaimRequest &Request) {
  for (const Claim &Candidate : Request.Claims)
    Log.requestClaim(Now, Request.Sender, Candidate);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const ClaimReport &Report) {
  for (const ClaimOutcome &Outcome : Report.Outcomes)
    Log.reportOutcome(Now, Report.Sender, Outcome);
}

void RequestRouter::Impl::onMessage(TimePoint Now, const ClaimReply &Reply) {
  for (const ClaimDecision &Decision : Reply.Decisions)
    onClaimDecision(Now, Decision);
  for (const ClaimIdentity &Identity : Reply.Acknowledged)
    Claims.onAcknowledged(Identity);
}

/// Updates the demand for slots that is reported to the homes.
void RequestRouter::Impl::demandSlots(TimePoint Now) {
  std::uint32_t RunningAttempts = RequestsByAttempt.size();
  auto SpareAttempts =
      static_cast<std::uint32_t>(std::ceil(RunningAttempts * DemandHeadroom));
  std::uint32_t Demand = RunningAttempts + Queue.size() + SpareAttempts;
  Duration Elapsed = Now - DemandedAt;
  if (Demand == DemandedAttempts && Elapsed < DemandPeriod)
    return;
  if (Elapsed < Settings.Peers.UrgentPeriod)
    return;
  auto Daemons = static_cast<double>(Peers.all().size() + 1);
  double Idle = Settings.Peers.IdleShare * Pool.usableSlots(Now) / Daemons;
  auto IdleSlots = static_cast<std::uint32_t>(std::max(1.0, std::floor(Idle)));
  DemandedAttempts = Demand;
  DemandedAt = Now;
  Pool.distributeDemand(Now, Demand, IdleSlots);
  dispatch(Now);
}

void RequestRouter::Impl::sendReports(TimePoint Now) {
  const PeerOptions &Options = Settings.Peers;
  for (auto &[Id, Value] : Channels) {
    bool IsUrgent = Shares.urgentPeers().contains(Id);
    Duration Period = IsUrgent ? Options.UrgentPeriod : Options.ReportPeriod;
    if (Value.HasSent && Now < Value.LastSentAt + Period)
      continue;
    sendReport(Now, Id);
  }
}

void RequestRouter::Impl::sendReport(TimePoint Now, const DaemonId &Recipient) {
  Channel &Link = Channels[Recipient];
  Link.LastSentAt = Now;
  Link.HasSent = true;
  ++Link.Sequence;
  const Peer &Receiver = Peers.all().at(Recipient);
  PeerReport Report;
  Report.Service = Settings.Service;
  Report.Sender = Settings.Self;
  Report.SenderIncarnation = Settings.SelfIncarnation;
  Report.Domain = Settings.Domain;
  Report.Sequence = Link.Sequence;
  Report.SentAt = Now.time_since_epoch().count();
  Report.EchoIncarnation = Receiver.LastIncarnation;
  Report.EchoSequence = Receiver.LastSequence;
  Report.EchoSentAt = Receiver.LastSentAt;
  Report.LiveDigest = Peers.liveDigest(Now);
  Report.Draining = Peers.isDraining();
  Shares.addToReport(Now, Recipient, Report);
  Pool.addToReport(Now, Report);
  Rates.addToReport(Now, Report);
  Shares.clearUrgent(Recipient);
  Actions.push_back(SendPeerMessage{Recipient, std::move(Report)});
}

} // namespace banyanworks
