/// \file
/// Implements the simulation of ownership.
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
  updateMembers();
}

DaemonId OwnershipFleet::nameOf(std::size_t Index) const {
  return DaemonId(std::to_string(Index));
}

void OwnershipFleet::start(std::size_t Index) {
  Daemon &Started = Daemons[Index];
  ++Starts;
  Started.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Started.StateMachine = std::make_unique<Ownership>(
      DomainId("a"), nameOf(Index), Starts, Settings);
  Started.PendingOperations.clear();
  Started.Dead = false;
}

void OwnershipFleet::updateMembers() {
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
  updateMembers();
}

void OwnershipFleet::restart(std::size_t Daemon) {
  start(Daemon);
  updateMembers();
}

void OwnershipFleet::pause(std::size_t Daemon, bool Paused) {
  Daemons[Daemon].Paused = Paused;
}

void OwnershipFleet::cutFromStore(std::size_t Daemon, bool Cut) {
  Daemons[Daemon].CutFromStore = Cut;
}

void OwnershipFleet::cutFromPeers(std::size_t Daemon, bool Cut) {
  Daemons[Daemon].CutFromPeers = Cut;
}

void OwnershipFleet::shutDown(std::size_t Daemon) {
  handle(Daemon, OwnershipShutdown{});
}

void OwnershipFleet::reportWorkerEpoch(std::size_t Daemon, Epoch Term) {
  handle(Daemon, WorkerEpochReported{Term});
}

void OwnershipFleet::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;)
    step();
}

std::optional<Duration>
OwnershipFleet::advanceUntilOwnerChange(std::size_t Former, Duration Timeout) {
  TimePoint Start = Now;
  while (Now < Start + Timeout) {
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
    // A daemon that resumes after a pause handles the new time before any
    // store answer.
    handle(I, OwnershipTick{});
    std::vector<StoreOutcome> Ended;
    if (Running.CutFromStore)
      Ended = Running.Driver->client().poll(Now).Outcomes;
    else
      Ended = Running.Driver->step(Now);
    for (StoreOutcome &Outcome : Ended) {
      auto Found = Running.PendingOperations.find(Outcome.Operation);
      if (Found == Running.PendingOperations.end())
        continue;
      StoreTag Tag = Found->second;
      Running.PendingOperations.erase(Found);
      handle(I, OwnershipStoreAnswered{Tag, std::move(Outcome)});
    }
  }
  if (++Steps % StepsPerClaim == 0)
    sendClaims();
}

bool OwnershipFleet::canReceive(std::size_t ReceiverIndex,
                                std::size_t SenderIndex) const {
  const Daemon &Sender = Daemons[SenderIndex];
  const Daemon &Receiver = Daemons[ReceiverIndex];
  return ReceiverIndex != SenderIndex && !Receiver.Dead && !Receiver.Paused &&
         !Sender.CutFromPeers && !Receiver.CutFromPeers;
}

void OwnershipFleet::sendClaims() {
  for (std::size_t Sender : owners()) {
    OwnerClaim Claim{nameOf(Sender), Daemons[Sender].StateMachine->term()};
    for (std::size_t Receiver = 0; Receiver != Daemons.size(); ++Receiver)
      if (canReceive(Receiver, Sender))
        handle(Receiver, ClaimReceived{Claim, {}});
  }
}

void OwnershipFleet::handle(std::size_t Index, const OwnershipEvent &Event) {
  for (const OwnershipAction &Action :
       Daemons[Index].StateMachine->handle(Event, Now))
    perform(Index, Action);
}

void OwnershipFleet::perform(std::size_t Index, const OwnershipAction &Action) {
  Daemon &Running = Daemons[Index];
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id = Running.Driver->client().submit(
        Command->Request, Now, Now + Command->Timeout);
    Running.PendingOperations[Id] = Command->Tag;
  } else if (const auto *Acquired = std::get_if<OwnershipTaken>(&Action)) {
    auto Added = OwnersByEpoch.emplace(Acquired->Term, Index);
    if (!Added.second && Added.first->second != Index)
      ++SharedEpochs;
  } else if (const auto *Announcement = std::get_if<AnnounceClaim>(&Action)) {
    for (std::size_t Receiver = 0; Receiver != Daemons.size(); ++Receiver)
      if (canReceive(Receiver, Index))
        handle(Receiver, ClaimReceived{Announcement->Claim, {}});
  } else if (const auto *Offer = std::get_if<SendHandOverOffer>(&Action)) {
    std::size_t Receiver = std::stoul(Offer->Successor.str());
    if (canReceive(Receiver, Index))
      handle(Receiver, HandOverOfferReceived{Offer->Claim});
  }
}

std::vector<std::size_t> OwnershipFleet::owners() const {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I != Daemons.size(); ++I) {
    const Daemon &Each = Daemons[I];
    if (!Each.Dead && !Each.Paused && Each.StateMachine->owns(Now))
      Result.push_back(I);
  }
  return Result;
}

std::size_t OwnershipFleet::owner() const {
  std::vector<std::size_t> All = owners();
  return All.size() == 1 ? All.front() : Daemons.size();
}

} // namespace banyanworks::testing
