/// \file
/// Implements the simulation of group membership.
#include "support/MembershipFleet.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(10);
constexpr Duration LocalLatency = std::chrono::milliseconds(1);
constexpr Duration RemoteLatency = std::chrono::milliseconds(20);
/// Size of the UDP and IP headers of a datagram.
constexpr std::uint64_t HeaderBytes = 28;

} // namespace

MembershipFleet::MembershipFleet(std::size_t Domains,
                                 std::size_t DaemonsPerDomain,
                                 std::uint64_t Seed,
                                 const Membership::Options &Settings)
    : PerDomain(DaemonsPerDomain), Settings(Settings), Rng(Seed),
      Daemons(Domains * DaemonsPerDomain) {
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    start(I);
}

DaemonId MembershipFleet::nameOf(std::size_t Index) const {
  return DaemonId("10.0.0." + std::to_string(Index) + ":9000");
}

DomainId MembershipFleet::domainOf(std::size_t Index) const {
  return DomainId("domain-" + std::to_string(Index / PerDomain));
}

void MembershipFleet::start(std::size_t Index) {
  ++Starts;
  MemberRecord Record;
  Record.Daemon = nameOf(Index);
  Record.Domain = domainOf(Index);
  Record.Process = Incarnation(Starts);
  Daemons[Index].StateMachine =
      std::make_unique<Membership>(Record, Starts, Settings);
  Daemons[Index].Dead = false;
  // The settings of a daemon name a few seed members.
  std::vector<MemberHint> Hints;
  for (std::size_t Seed : {std::size_t(0), Index / PerDomain * PerDomain,
                           (Index + 1) % Daemons.size()})
    if (Seed != Index)
      Hints.push_back({nameOf(Seed), domainOf(Seed), false});
  handle(Index, HintsReceived{Hints});
}

void MembershipFleet::restart(std::size_t Daemon) { start(Daemon); }

void MembershipFleet::shutDown(std::size_t Daemon) {
  handle(Daemon, MembershipShutdown{});
  Daemons[Daemon].Dead = true;
}

void MembershipFleet::hint(std::size_t Daemon, const MemberHint &Hint) {
  handle(Daemon, HintsReceived{{Hint}});
}

void MembershipFleet::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;)
    step();
}

void MembershipFleet::step() {
  Now += StepLength;
  while (!InFlight.empty() && InFlight.begin()->first <= Now) {
    Datagram Arrived = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    Daemon &Receiver = Daemons[Arrived.ReceiverIndex];
    if (Receiver.Dead)
      continue;
    Receiver.Bytes += Arrived.Bytes.size() + HeaderBytes;
    ++Receiver.Messages;
    if (auto Message = decodeGossip(Arrived.Bytes))
      handle(Arrived.ReceiverIndex, GossipReceived{*Message});
  }
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (!Daemons[I].Dead)
      handle(I, MembershipTick{});
}

void MembershipFleet::handle(std::size_t Index, const MembershipEvent &Event) {
  for (const MembershipAction &Action :
       Daemons[Index].StateMachine->handle(Event, Now)) {
    if (const auto *Send = std::get_if<SendGossip>(&Action))
      send(Index, *Send);
    else if (std::holds_alternative<MembersChanged>(Action))
      countFalseDeaths(Index);
  }
}

void MembershipFleet::countFalseDeaths(std::size_t Observer) {
  if (!CountFalseDeaths)
    return;
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (I != Observer && !Daemons[I].Dead && !believesLive(Observer, I))
      ++FalseDeaths;
}

void MembershipFleet::send(std::size_t SenderIndex, const SendGossip &Send) {
  std::size_t ReceiverIndex = 0;
  while (ReceiverIndex != Daemons.size() &&
         nameOf(ReceiverIndex) != Send.Recipient)
    ++ReceiverIndex;
  std::string Bytes = encodeGossip(Send.Message);
  Daemons[SenderIndex].Bytes += Bytes.size() + HeaderBytes;
  ++Daemons[SenderIndex].Messages;
  bool Lost = ReceiverIndex == Daemons.size() ||
              (IsCut && IsCut(SenderIndex, ReceiverIndex)) ||
              (LossProbability > 0 && Rng.withProbability(LossProbability));
  if (Lost)
    return;
  bool SameDomain = domainOf(SenderIndex) == domainOf(ReceiverIndex);
  InFlight.emplace(Now + (SameDomain ? LocalLatency : RemoteLatency),
                   Datagram{ReceiverIndex, std::move(Bytes)});
}

bool MembershipFleet::believesLive(std::size_t Observer,
                                   std::size_t Daemon) const {
  std::vector<DaemonId> Live =
      Daemons[Observer].StateMachine->liveMembersIn(domainOf(Daemon));
  return std::find(Live.begin(), Live.end(), nameOf(Daemon)) != Live.end();
}

std::size_t MembershipFleet::countBelievers(std::size_t Daemon) const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (I != Daemon && !Daemons[I].Dead && believesLive(I, Daemon))
      ++Count;
  return Count;
}

} // namespace banyanworks::testing
