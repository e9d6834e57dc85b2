/// \file
/// Implements the gossiping daemons.
#include "support/MembershipFleet.h"

#include <algorithm>
#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(10);
constexpr Duration NearLatency = std::chrono::milliseconds(1);
constexpr Duration FarLatency = std::chrono::milliseconds(20);
/// Added to the payload for the headers of UDP and IP, in bytes.
constexpr std::uint64_t HeaderBytes = 28;

} // namespace

MembershipFleet::MembershipFleet(std::size_t Domains,
                                 std::size_t DaemonsPerDomain,
                                 std::uint64_t Seed,
                                 const Membership::Options &Settings)
    : PerDomain(DaemonsPerDomain), Settings(Settings), Generator(Seed),
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
  Daemons[Index].Machine =
      std::make_unique<Membership>(Record, Starts, Settings);
  Daemons[Index].Dead = false;
  // Settings name a few daemons to begin with.
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
  while (!OnTheWay.empty() && OnTheWay.begin()->first <= Now) {
    Datagram Arrived = std::move(OnTheWay.begin()->second);
    OnTheWay.erase(OnTheWay.begin());
    Daemon &Receiver = Daemons[Arrived.To];
    if (Receiver.Dead)
      continue;
    Receiver.Bytes += Arrived.Bytes.size() + HeaderBytes;
    ++Receiver.Messages;
    if (auto Message = decodeGossip(Arrived.Bytes))
      handle(Arrived.To, GossipReceived{*Message});
  }
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (!Daemons[I].Dead)
      handle(I, MembershipTick{});
}

void MembershipFleet::handle(std::size_t Index, const MembershipEvent &Event) {
  for (const MembershipAction &Action :
       Daemons[Index].Machine->handle(Event, Now)) {
    if (const auto *Send = std::get_if<SendGossip>(&Action))
      send(Index, *Send);
    else if (std::holds_alternative<MembersChanged>(Action))
      countFalseDeaths(Index);
  }
}

void MembershipFleet::countFalseDeaths(std::size_t By) {
  if (!CountsFalseDeaths)
    return;
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (I != By && !Daemons[I].Dead && !believesLive(By, I))
      ++FalseDeaths;
}

void MembershipFleet::send(std::size_t From, const SendGossip &Send) {
  std::size_t To = 0;
  while (To != Daemons.size() && nameOf(To) != Send.To)
    ++To;
  std::string Bytes = encodeGossip(Send.Message);
  Daemons[From].Bytes += Bytes.size() + HeaderBytes;
  ++Daemons[From].Messages;
  bool Lost = To == Daemons.size() || (Cut && Cut(From, To)) ||
              (Loss > 0 && Generator.chance(Loss));
  if (Lost)
    return;
  bool Near = domainOf(From) == domainOf(To);
  OnTheWay.emplace(Now + (Near ? NearLatency : FarLatency),
                   Datagram{To, std::move(Bytes)});
}

bool MembershipFleet::believesLive(std::size_t By, std::size_t Daemon) const {
  std::vector<DaemonId> Live =
      Daemons[By].Machine->liveMembersIn(domainOf(Daemon));
  return std::find(Live.begin(), Live.end(), nameOf(Daemon)) != Live.end();
}

std::size_t MembershipFleet::believers(std::size_t Daemon) const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (I != Daemon && !Daemons[I].Dead && believesLive(I, Daemon))
      ++Count;
  return Count;
}

} // namespace banyanworks::testing
