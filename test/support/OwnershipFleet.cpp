/// \file
/// Implements the daemons that contend for a failure domain.
#include "support/OwnershipFleet.h"

#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(10);
constexpr std::uint64_t StepsPerClaim = 30;

} // namespace

OwnershipFleet::OwnershipFleet(std::size_t Count,
                               const Ownership::Options &Settings)
    : Settings(Settings), Daemons(Count) {
  for (std::size_t I = 0; I != Count; ++I)
    start(I);
  tellMembers();
}

DaemonId OwnershipFleet::nameOf(std::size_t Index) const {
  return DaemonId(std::to_string(Index));
}

void OwnershipFleet::start(std::size_t Index) {
  Daemon &Started = Daemons[Index];
  ++Starts;
  Started.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Started.Machine = std::make_unique<Ownership>(DomainId("a"), nameOf(Index),
                                                Starts, Settings);
  Started.Asked.clear();
  Started.Dead = false;
}

void OwnershipFleet::tellMembers() {
  std::vector<DaemonId> Members;
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (!Daemons[I].Dead)
      Members.push_back(nameOf(I));
  for (std::size_t I = 0; I != Daemons.size(); ++I)
    if (!Daemons[I].Dead)
      handle(I, DomainMembersChanged{Members});
}

void OwnershipFleet::kill(std::size_t Daemon) {
  Daemons[Daemon].Dead = true;
  tellMembers();
}

void OwnershipFleet::restart(std::size_t Daemon) {
  start(Daemon);
  tellMembers();
}

void OwnershipFleet::pause(std::size_t Daemon, bool Paused) {
  Daemons[Daemon].Paused = Paused;
}

void OwnershipFleet::cutFromStore(std::size_t Daemon, bool Cut) {
  Daemons[Daemon].NoStore = Cut;
}

void OwnershipFleet::cutFromPeers(std::size_t Daemon, bool Cut) {
  Daemons[Daemon].NoPeers = Cut;
}

void OwnershipFleet::shutDown(std::size_t Daemon) {
  handle(Daemon, OwnershipShutdown{});
}

void OwnershipFleet::tellWorkerEpoch(std::size_t Daemon, Epoch Term) {
  handle(Daemon, WorkerEpochReported{Term});
}

void OwnershipFleet::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;)
    step();
}

std::optional<Duration> OwnershipFleet::untilOwnerOtherThan(std::size_t Former,
                                                            Duration Limit) {
  TimePoint Start = Now;
  while (Now < Start + Limit) {
    step();
    for (std::size_t Index : owners())
      if (Index != Former)
        return Now - Start;
  }
  return std::nullopt;
}

void OwnershipFleet::step() {
  Now += StepLength;
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    Daemon &Running = Daemons[I];
    if (Running.Dead || Running.Paused)
      continue;
    // A daemon that was paused finds its clock first.
    handle(I, OwnershipTick{});
    std::vector<StoreOutcome> Ended;
    if (Running.NoStore)
      Ended = Running.Driver->client().poll(Now).Outcomes;
    else
      Ended = Running.Driver->step(Now);
    for (StoreOutcome &Outcome : Ended) {
      auto Found = Running.Asked.find(Outcome.Operation);
      if (Found == Running.Asked.end())
        continue;
      StoreTag Tag = Found->second;
      Running.Asked.erase(Found);
      handle(I, OwnershipStoreAnswered{Tag, std::move(Outcome)});
    }
  }
  if (++Steps % StepsPerClaim == 0)
    sendClaims();
}

bool OwnershipFleet::hears(std::size_t To, std::size_t From) const {
  const Daemon &Sender = Daemons[From];
  const Daemon &Receiver = Daemons[To];
  return To != From && !Receiver.Dead && !Receiver.Paused && !Sender.NoPeers &&
         !Receiver.NoPeers;
}

void OwnershipFleet::sendClaims() {
  for (std::size_t From : owners()) {
    OwnerClaim Claim{nameOf(From), Daemons[From].Machine->term()};
    for (std::size_t To = 0; To != Daemons.size(); ++To)
      if (hears(To, From))
        handle(To, ClaimReceived{Claim, {}});
  }
}

void OwnershipFleet::handle(std::size_t Index, const OwnershipEvent &Event) {
  for (const OwnershipAction &Action :
       Daemons[Index].Machine->handle(Event, Now))
    perform(Index, Action);
}

void OwnershipFleet::perform(std::size_t Index, const OwnershipAction &Action) {
  Daemon &Running = Daemons[Index];
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id =
        Running.Driver->client().submit(Ask->Request, Now, Now + Ask->Timeout);
    Running.Asked[Id] = Ask->Tag;
  } else if (const auto *Gained = std::get_if<OwnershipTaken>(&Action)) {
    auto Added = Taken.emplace(Gained->Term, Index);
    if (!Added.second && Added.first->second != Index)
      ++SharedEpochs;
  } else if (const auto *Said = std::get_if<AnnounceClaim>(&Action)) {
    for (std::size_t To = 0; To != Daemons.size(); ++To)
      if (hears(To, Index))
        handle(To, ClaimReceived{Said->Claim, {}});
  } else if (const auto *Offer = std::get_if<SendHandOverOffer>(&Action)) {
    std::size_t To = std::stoul(Offer->Successor.str());
    if (hears(To, Index))
      handle(To, HandOverOfferReceived{Offer->From});
  }
}

std::vector<std::size_t> OwnershipFleet::owners() const {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    const Daemon &Each = Daemons[I];
    if (!Each.Dead && !Each.Paused && Each.Machine->owns(Now))
      Result.push_back(I);
  }
  return Result;
}

std::size_t OwnershipFleet::owner() const {
  std::vector<std::size_t> All = owners();
  return All.size() == 1 ? All.front() : Daemons.size();
}

} // namespace banyanworks::testing
