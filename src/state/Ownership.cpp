/// \file
/// Implements the transitions of a daemon's ownership of its domain.
#include "state/Ownership.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace banyanworks {

namespace {

constexpr Duration StepTimeout = std::chrono::milliseconds(700);
constexpr Duration StepRetryInterval = std::chrono::milliseconds(250);
constexpr Duration OfferInterval = std::chrono::milliseconds(700);

std::optional<StoreEntry> entryOf(const StoreAnswer &Answer) {
  if (const auto *Read = std::get_if<EntryAnswer>(&Answer.Result))
    return Read->Entry;
  if (const auto *Conflict = std::get_if<ConflictAnswer>(&Answer.Result))
    return Conflict->Current;
  return std::nullopt;
}

std::string encodeClaim(const OwnerClaim &Claim, const WriteIdentity &Id) {
  return stampValue(Id, std::to_string(Claim.Term.value()) + " " +
                            Claim.Daemon.str());
}

std::optional<OwnerClaim> decodeClaim(const std::string &Value) {
  auto Stamped = parseStampedValue(Value);
  if (!Stamped)
    return std::nullopt;
  std::string_view Text = Stamped->Payload;
  std::uint64_t Term = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Term);
  auto Digits = static_cast<std::size_t>(Parsed.ptr - Text.data());
  if (Parsed.ec != std::errc() || Digits >= Text.size())
    return std::nullopt;
  return OwnerClaim{DaemonId(std::string(Text.substr(Digits + 1))),
                    Epoch(Term)};
}

} // namespace

struct Ownership::Visitor {
  Ownership &Machine;
  TimePoint Now;
  Actions &Out;

  void operator()(const OwnershipTick &) const {}
  void operator()(const OwnershipStoreAnswered &Event) const {
    if (Event.Tag.value() == Machine.StepNumber)
      Machine.onStoreOutcome(Event.Outcome, Now, Out);
  }
  void operator()(const DomainMembersChanged &Event) const {
    Machine.Succession = successionOrder(Machine.Domain, Event.Members);
  }
  void operator()(const ClaimReceived &Event) const {
    Machine.onClaim(Event, Now, Out);
  }
  void operator()(const WorkerEpochReported &Event) const {
    Machine.HighestTerm = std::max(Machine.HighestTerm, Event.Term);
    if (Machine.isOwner() && Event.Term > Machine.OwnTerm)
      Machine.release(Now, Out);
  }
  void operator()(const HandOverOfferReceived &Event) const {
    Machine.onClaim({Event.Claim, {}}, Now, Out);
    if (Machine.isOwner() || Machine.Stopping)
      return;
    Machine.ReplacedClaim = Event.Claim;
    Machine.CurrentStep = Step::None;
    Machine.NextStep = Now;
  }
  void operator()(const RecordsIncomplete &) const {
    Machine.RecordsMissing = Machine.isOwner();
  }
  void operator()(const OwnershipShutdown &) const { Machine.Stopping = true; }
};

Ownership::Ownership(DomainId Domain, DaemonId Self, std::uint64_t Process)
    : Ownership(std::move(Domain), std::move(Self), Process, Options()) {}

Ownership::Ownership(DomainId Domain, DaemonId Self, std::uint64_t Process,
                     const Options &Settings)
    : Domain(std::move(Domain)), Self(std::move(Self)), Process(Process),
      Settings(Settings) {}

std::vector<OwnershipAction> Ownership::handle(const OwnershipEvent &Event,
                                               TimePoint Now) {
  Actions Out;
  if (!Started) {
    Started = true;
    OwnerHeardAt = LastTick = Now;
  }
  tick(Now, Out);
  std::visit(Visitor{*this, Now, Out}, Event);
  tick(Now, Out);
  return Out;
}

bool Ownership::owns(TimePoint Now) const {
  if (Role == OwnerRole::Leased)
    return !Settings.ChecksLeaseDeadline || HeldLease.isValid(Now);
  if (Role == OwnerRole::WithoutStore)
    return !Settings.ChecksLeaseDeadline || Now - LastTick <= Settings.MaxPause;
  return false;
}

void Ownership::tick(TimePoint Now, Actions &Out) {
  if (isOwner())
    tickOwner(Now, Out);
  else
    tickFollower(Now, Out);
  LastTick = Now;
}

void Ownership::tickOwner(TimePoint Now, Actions &Out) {
  bool Paused = Now - LastTick > Settings.MaxPause;
  if (Role == OwnerRole::Leased && !HeldLease.isValid(Now) &&
      Settings.ChecksLeaseDeadline) {
    // The owner continues only in an outage that it has observed without a
    // pause.
    if (Paused || !StoreUnavailable) {
      release(Now, Out);
      return;
    }
    Role = OwnerRole::WithoutStore;
    CurrentStep = Step::None;
    NextStep = Now;
  }
  if (Role == OwnerRole::WithoutStore && Paused &&
      Settings.ChecksLeaseDeadline) {
    release(Now, Out);
    return;
  }
  if (Stopping && Now >= NextOffer)
    offerHandOver(Now, Out);
  if (!isOwner() || CurrentStep != Step::None || Now < NextStep)
    return;
  if (Role == OwnerRole::WithoutStore)
    send(Step::ReadOwner, GetRequest{ownerKey()}, Out);
  else if (Now >= HeldLease.renewalTime())
    send(Step::Renew, LeaseRenewRequest{HeldLease.id()}, Out);
}

void Ownership::tickFollower(TimePoint Now, Actions &Out) {
  if (Stopping || rank() >= Succession.size())
    return;
  Duration RankWait = Settings.RankDelay * static_cast<std::int64_t>(rank());
  bool OwnerTimedOut = Now - OwnerHeardAt >= Settings.OwnerTimeout + RankWait;
  bool ShouldClaim = OwnerTimedOut || ReplacedClaim.has_value();
  if (ShouldClaim && CurrentStep == Step::None && Now >= NextStep) {
    send(Step::ReadOwner, GetRequest{ownerKey()}, Out);
    return;
  }
  Duration TakeoverTimeout =
      std::max(OutageBackoff, Settings.OutageTakeoverTimeout);
  bool TakeoverDue = Now - OwnerHeardAt >= TakeoverTimeout + RankWait;
  if (StoreUnavailable && (TakeoverDue || ReplacedClaim)) {
    CurrentStep = Step::None;
    becomeOwner(OwnerRole::WithoutStore,
                makeEpoch(epochCounter(HighestTerm) + 1, Self), Now, Out);
  }
}

void Ownership::onClaim(const ClaimReceived &Event, TimePoint Now,
                        Actions &Out) {
  const OwnerClaim &Claim = Event.Claim;
  if (Claim.Term < HighestTerm || Claim.Daemon == Self)
    return;
  HighestTerm = Claim.Term;
  OwnerHeardAt = std::max(OwnerHeardAt, Now - Event.Age);
  LatestClaim = Claim;
  if (ReplacedClaim && Claim.Term > ReplacedClaim->Term)
    ReplacedClaim.reset();
  if (isOwner() && Claim.Term > OwnTerm)
    release(Now, Out);
}

void Ownership::onStoreOutcome(const StoreOutcome &Outcome, TimePoint Now,
                               Actions &Out) {
  Step Done = std::exchange(CurrentStep, Step::None);
  StoreUnavailable = Outcome.Status == StoreStatus::Unknown ||
                     (Outcome.Status == StoreStatus::NotApplied &&
                      Outcome.Cause == Reason::StoreUnavailable);
  if (!StoreUnavailable)
    OutageBackoff = Duration::zero();
  switch (Done) {
  case Step::ReadOwner:
    onOwnerRead(Outcome, Now, Out);
    return;
  case Step::GrantLease:
    if (Outcome.Status == StoreStatus::Done)
      onLeaseGranted(Outcome, Out);
    else
      scheduleRetry(Now);
    return;
  case Step::ReadEpoch:
    onEpochRead(Outcome, Now, Out);
    return;
  case Step::WriteEpoch:
    if (Outcome.Status != StoreStatus::Done) {
      scheduleRetry(Now);
      return;
    }
    send(Step::WriteOwner,
         PutRequest{ownerKey(), encodeClaim({Self, TargetTerm}, nextIdentity()),
                    OwnerVersion, PendingLease.id()},
         Out);
    return;
  case Step::WriteOwner:
    onOwnerWritten(Outcome, Now, Out);
    return;
  case Step::Renew:
    onLeaseRenewed(Outcome, Now, Out);
    return;
  case Step::Revoke:
  case Step::None:
    return;
  }
}

void Ownership::onOwnerRead(const StoreOutcome &Outcome, TimePoint Now,
                            Actions &Out) {
  if (Outcome.Status != StoreStatus::Done) {
    scheduleRetry(Now);
    return;
  }
  std::optional<StoreEntry> Entry = entryOf(Outcome.Answer);
  OwnerVersion = Entry ? Entry->Version : StoreRevision();
  auto Holder = Entry ? decodeClaim(Entry->Value) : std::nullopt;
  if (Holder && Holder->Daemon != Self) {
    HighestTerm = std::max(HighestTerm, Holder->Term);
    if (isOwner() && Holder->Term > OwnTerm) {
      release(Now, Out);
      return;
    }
    bool Offered = ReplacedClaim && ReplacedClaim->Daemon == Holder->Daemon;
    // An owner that ran without the store replaces the older entry.
    if (!Offered && !isOwner()) {
      NextStep = Now + StepRetryInterval;
      return;
    }
  }
  send(Step::GrantLease, LeaseGrantRequest{Settings.LeaseTime}, Out);
}

void Ownership::onLeaseGranted(const StoreOutcome &Outcome, Actions &Out) {
  const auto *GrantedLease = std::get_if<LeaseAnswer>(&Outcome.Answer.Result);
  if (!GrantedLease)
    return;
  PendingLease =
      Lease(GrantedLease->Lease, GrantedLease->TimeToLive, Outcome.SentAt);
  send(Step::ReadEpoch, GetRequest{epochKey()}, Out);
}

void Ownership::onEpochRead(const StoreOutcome &Outcome, TimePoint Now,
                            Actions &Out) {
  if (Outcome.Status != StoreStatus::Done) {
    scheduleRetry(Now);
    return;
  }
  std::optional<StoreEntry> Entry = entryOf(Outcome.Answer);
  auto StoredClaim = Entry ? decodeClaim(Entry->Value) : std::nullopt;
  Epoch Last = StoredClaim ? StoredClaim->Term : Epoch();
  HighestTerm = std::max(HighestTerm, Last);
  if (isOwner() && Last > OwnTerm) {
    release(Now, Out);
    return;
  }
  // An owner that reaches the store again keeps its epoch if it has all
  // records.
  TargetTerm = isOwner() && !RecordsMissing
                   ? OwnTerm
                   : makeEpoch(epochCounter(HighestTerm) + 1, Self);
  send(Step::WriteEpoch,
       PutRequest{epochKey(),
                  encodeClaim({Self, TargetTerm}, nextIdentity()),
                  Entry ? Entry->Version : StoreRevision(),
                  {}},
       Out);
}

void Ownership::onOwnerWritten(const StoreOutcome &Outcome, TimePoint Now,
                               Actions &Out) {
  if (Outcome.Status != StoreStatus::Done || !PendingLease.isValid(Now)) {
    scheduleRetry(Now);
    return;
  }
  HeldLease = std::exchange(PendingLease, Lease());
  if (isOwner() && !RecordsMissing) {
    Role = OwnerRole::Leased;
    return;
  }
  becomeOwner(OwnerRole::Leased, TargetTerm, Now, Out);
}

void Ownership::onLeaseRenewed(const StoreOutcome &Outcome, TimePoint Now,
                               Actions &Out) {
  if (Outcome.Status == StoreStatus::Done) {
    HeldLease.recordRenewal(Outcome.SentAt);
    return;
  }
  if (Outcome.Status == StoreStatus::Conflict) {
    release(Now, Out);
    return;
  }
  NextStep = Now + StepRetryInterval / 2;
}

void Ownership::scheduleRetry(TimePoint Now) {
  NextStep = Now + StepRetryInterval;
}

void Ownership::becomeOwner(OwnerRole NewRole, Epoch Term, TimePoint Now,
                            Actions &Out) {
  Role = NewRole;
  RecordsMissing = NewRole == OwnerRole::WithoutStore;
  OwnTerm = HighestTerm = Term;
  LatestClaim = OwnerClaim{Self, Term};
  OwnerHeardAt = LastTick = Now;
  ReplacedClaim.reset();
  NextStep = Now + StepRetryInterval;
  Out.emplace_back(OwnershipTaken{Term, NewRole == OwnerRole::Leased});
  Out.emplace_back(AnnounceClaim{*LatestClaim});
}

void Ownership::release(TimePoint Now, Actions &Out) {
  if (Role == OwnerRole::WithoutStore) {
    OutageBackoff =
        std::min(std::max(OutageBackoff, Settings.OutageTakeoverTimeout) * 2,
                 Settings.MaxOutageTakeoverTimeout);
  }
  Role = OwnerRole::Follower;
  if (LatestClaim && LatestClaim->Daemon == Self)
    LatestClaim.reset();
  HeldLease.reset();
  PendingLease.reset();
  CurrentStep = Step::None;
  OwnerHeardAt = Now;
  NextStep = Now;
  Out.emplace_back(OwnershipReleased{OwnTerm});
}

void Ownership::offerHandOver(TimePoint Now, Actions &Out) {
  std::vector<DaemonId> Successors;
  for (const DaemonId &Daemon : Succession)
    if (Daemon != Self)
      Successors.push_back(Daemon);
  // Members may have left since the last offer.
  if (OffersSent >= Successors.size()) {
    // No successor is left. Revoke the lease so that the next daemon to start
    // does not wait for it to expire.
    if (Role == OwnerRole::Leased)
      send(Step::Revoke, LeaseRevokeRequest{HeldLease.id()}, Out);
    release(Now, Out);
    return;
  }
  NextOffer = Now + OfferInterval;
  Out.emplace_back(
      SendHandOverOffer{Successors[OffersSent++], {Self, OwnTerm}});
}

void Ownership::send(Step Next, StoreRequest Request, Actions &Out) {
  CurrentStep = Next;
  Out.emplace_back(
      StoreCommand{StoreTag(++StepNumber), std::move(Request), StepTimeout});
}

} // namespace banyanworks
