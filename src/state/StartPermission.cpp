/// \file
/// Implements the proofs on which a start permission is based.
#include "state/StartPermission.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace banyanworks {

namespace {

/// Time for which contact with a domain's daemons counts as current. A new
/// owner does not vote during this time, so that an earlier owner has lost
/// contact and stopped voting before.
constexpr Duration DomainContactWindow = std::chrono::seconds(1);

} // namespace

struct StartPermission::Visitor {
  StartPermission &Permission;
  TimePoint Now;

  void operator()(const PermissionConfiguration &Event) const {
    Permission.configure(Event);
  }
  void operator()(const RootConfirmed &Event) const {
    Permission.recordRoot(Event);
  }
  void operator()(const OwnerVersionReported &Event) const {
    Permission.recordStatement(Event);
  }
  void operator()(const PermissionOwnershipGained &) const {
    Permission.OwnerSince = Now;
    Permission.EarlierVotesKnown = false;
    Permission.Statements.clear();
  }
  void operator()(const PermissionOwnershipStatus &Event) const {
    Permission.Status = Event;
  }
  void operator()(const PermissionTick &) const {}
};

std::vector<PermissionAction>
StartPermission::handle(const PermissionEvent &Event, TimePoint Now) {
  std::visit(Visitor{*this, Now}, Event);
  updateEarlierVotesKnown();
  OwnersProof = std::max(OwnersProof, majorityAskedAt(Now));
  std::vector<PermissionAction> Out;
  if (Now >= NextRenewal) {
    NextRenewal = Now + Settings.RenewEvery;
    Out.emplace_back(ConfirmRoot{});
    bool StoreProofOverdue = StoreProof == TimePoint::min() ||
                             Now - StoreProof > Settings.RenewEvery * 3 / 2;
    if (StoreProofOverdue)
      Out.emplace_back(AskOwners{});
  }
  if (startUntil() != AnnouncedStartUntil) {
    AnnouncedStartUntil = startUntil();
    Out.emplace_back(StartUntilChanged{AnnouncedStartUntil});
  }
  return Out;
}

void StartPermission::configure(const PermissionConfiguration &Event) {
  if (Event.Version < Version)
    return;
  Version = Event.Version;
  InService = Event.InService;
  Domains = Event.Domains;
  recordRoot(PendingRoot);
}

void StartPermission::recordRoot(const RootConfirmed &Event) {
  // An older root is no proof: the read was stale or the store lost a version.
  if (Event.Version < Version)
    return;
  if (Event.Version == Version)
    StoreProof = std::max(StoreProof, Event.FreshSince);
  else
    PendingRoot = Event;
}

void StartPermission::recordStatement(const OwnerVersionReported &Event) {
  Statement &Latest = Statements[Event.Domain];
  if (Event.AskedAt >= Latest.AskedAt)
    Latest = {Event.Version, Event.AskedAt};
}

TimePoint StartPermission::othersAskedAt(std::size_t Count) const {
  std::vector<TimePoint> AskTimes;
  for (const DomainId &Domain : Domains) {
    auto Found = Statements.find(Domain);
    if (Domain == Self || Found == Statements.end() ||
        Found->second.Version > Version)
      continue;
    AskTimes.push_back(Found->second.AskedAt);
  }
  if (AskTimes.size() < Count || Count == 0)
    return TimePoint::min();
  std::sort(AskTimes.begin(), AskTimes.end(), std::greater<>());
  return AskTimes[Count - 1];
}

TimePoint StartPermission::majorityAskedAt(TimePoint Now) const {
  if (Domains.empty())
    return TimePoint::min();
  std::size_t RequiredVotes =
      Settings.RequiresMajority ? Domains.size() / 2 + 1 : 1;
  if (!mayVote(Now))
    return othersAskedAt(RequiredVotes);
  return RequiredVotes == 1 ? Now : othersAskedAt(RequiredVotes - 1);
}

void StartPermission::updateEarlierVotesKnown() {
  // An earlier owner's vote was counted with the votes of a majority less one
  // of the other domains. A majority of all domains that excludes this one
  // intersects that set.
  std::size_t Majority = Domains.size() / 2 + 1;
  bool ByStore = StoreProof >= OwnerSince;
  bool ByOthers = Domains.size() > 1 && othersAskedAt(Majority) >= OwnerSince;
  EarlierVotesKnown = EarlierVotesKnown || ByStore || ByOthers;
}

bool StartPermission::mayVote(TimePoint Now) const {
  if (!Settings.RestrictsVoting)
    return true;
  if (!EarlierVotesKnown || OwnerSince == TimePoint::max() ||
      Now - OwnerSince < DomainContactWindow)
    return false;
  return Status.Leased ||
         Now - Status.DomainMajorityHeardAt <= DomainContactWindow;
}

TimePoint StartPermission::startUntil() const {
  if (!InService)
    return TimePoint::min();
  if (!Settings.Expires)
    return TimePoint::max();
  TimePoint Proof = std::max(StoreProof, OwnersProof);
  if (Proof == TimePoint::min())
    return Proof;
  return Proof + StartPermissionLifetime;
}

PermissionSource StartPermission::source(TimePoint Now) const {
  if (!mayStart(Now))
    return PermissionSource::None;
  return StoreProof >= OwnersProof ? PermissionSource::Store
                                   : PermissionSource::Owners;
}

} // namespace banyanworks
