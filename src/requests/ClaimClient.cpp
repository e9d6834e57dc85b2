/// \file
/// Implements ClaimClient.
#include "requests/ClaimClient.h"

#include <algorithm>

namespace banyanworks {

namespace {

constexpr Duration ReportPeriod = std::chrono::milliseconds(500);
/// Abandoned claims are remembered this long, to release them if a late
/// decision grants them.
constexpr Duration LateDecisionWindow = std::chrono::seconds(60);
constexpr Duration PurgePeriod = std::chrono::seconds(1);

} // namespace

ClaimClient::ClaimClient(const RouterSettings &Settings,
                         const PeerDirectory &Peers, ClaimLog &Log)
    : Service(Settings.Service), Self(Settings.Self),
      SelfIncarnation(Settings.SelfIncarnation), Options(Settings.Claims),
      Peers(Peers), Log(Log) {}

DaemonId ClaimClient::claimHome(TimePoint Now) const {
  auto Order = Peers.rankHomes(Now, "claims/" + Service.str(), DomainId());
  return Order.empty() ? Self : Order.front();
}

ClaimIdentity ClaimClient::requestClaim(TimePoint Now, RequestId Request,
                                        Claim Candidate) {
  Candidate.Identity = {Self, SelfIncarnation, ++Serial};
  DaemonId Home = claimHome(Now);
  TimePoint NextTry = Now + Options.HomeTimeout;
  if (Home == Self) {
    Log.requestClaim(Now, Self, Candidate);
    NextTry = Now + Options.MaxWait;
  } else {
    Actions.push_back(
        SendPeerMessage{Home, ClaimRequest{Service, Self, {Candidate}}});
  }
  PendingRequests[Candidate.Identity] = {Request, Candidate, Now, NextTry};
  return Candidate.Identity;
}

void ClaimClient::enqueueReport(TimePoint Now, const Claim &EndedClaim,
                                ClaimState State, int Status) {
  PendingReport Value;
  Value.Outcome = {EndedClaim.Workspace, EndedClaim.Key, EndedClaim.Identity,
                   State, Status};
  sendReport(Now, Value);
  PendingReports[EndedClaim.Identity] = Value;
}

void ClaimClient::sendReport(TimePoint Now, PendingReport &Value) {
  Value.NextTry = Now + ReportPeriod;
  DaemonId Home = claimHome(Now);
  if (Home == Self)
    Log.reportOutcome(Now, Self, Value.Outcome);
  else
    Actions.push_back(
        SendPeerMessage{Home, ClaimReport{Service, Self, {Value.Outcome}}});
}

void ClaimClient::abandon(TimePoint Now, const ClaimIdentity &Identity) {
  auto Found = PendingRequests.find(Identity);
  if (Found == PendingRequests.end())
    return;
  AbandonedClaims[Identity] = {Now, Found->second.Candidate};
  enqueueReport(Now, Found->second.Candidate, ClaimState::Released, 0);
  PendingRequests.erase(Found);
}

void ClaimClient::reportOutcome(TimePoint Now, const Claim &Granted,
                                ClaimState State, int Status) {
  if (State == ClaimState::Released)
    AbandonedClaims[Granted.Identity] = {Now, Granted};
  enqueueReport(Now, Granted, State, Status);
}

std::optional<DecidedClaim>
ClaimClient::onDecision(TimePoint Now, const ClaimDecision &Decision) {
  auto Found = PendingRequests.find(Decision.Identity);
  if (Found == PendingRequests.end()) {
    auto Abandoned = AbandonedClaims.find(Decision.Identity);
    if (Abandoned != AbandonedClaims.end() &&
        Decision.Result == ClaimResult::Granted)
      enqueueReport(Now, Abandoned->second.second, ClaimState::Released, 0);
    return std::nullopt;
  }
  DecidedClaim Result{Found->second.Request, Decision};
  bool Refused = Decision.Result == ClaimResult::Unavailable;
  if (Refused && Decision.Holder == Decision.Identity) {
    abandon(Now, Decision.Identity);
    return Result;
  }
  if (Refused)
    AbandonedClaims[Decision.Identity] = {Now, Found->second.Candidate};
  PendingRequests.erase(Found);
  return Result;
}

void ClaimClient::onAcknowledged(const ClaimIdentity &Identity) {
  PendingReports.erase(Identity);
}

std::vector<RequestId> ClaimClient::poll(TimePoint Now) {
  std::vector<std::pair<ClaimIdentity, RequestId>> Expired;
  for (auto &[Identity, Value] : PendingRequests) {
    if (Now >= Value.RequestedAt + Options.MaxWait) {
      Expired.emplace_back(Identity, Value.Request);
      continue;
    }
    if (Now < Value.NextTry)
      continue;
    // The home did not answer in time. Any daemon may record claims, so the
    // local log does.
    Log.requestClaim(Now, Self, Value.Candidate);
    Value.NextTry = Value.RequestedAt + Options.MaxWait;
  }
  std::vector<RequestId> Result;
  for (const auto &[Identity, Request] : Expired) {
    abandon(Now, Identity);
    Result.push_back(Request);
  }
  for (auto &[Identity, Value] : PendingReports)
    if (Now >= Value.NextTry)
      sendReport(Now, Value);
  if (Now >= NextPurge) {
    NextPurge = Now + PurgePeriod;
    std::erase_if(AbandonedClaims, [&](const auto &Entry) {
      return Now - Entry.second.first > LateDecisionWindow;
    });
  }
  return Result;
}

std::optional<TimePoint> ClaimClient::nextDeadline() const {
  std::optional<TimePoint> Next;
  auto IncludeDeadline = [&](TimePoint At) {
    Next = std::min(Next.value_or(At), At);
  };
  for (const auto &[Identity, Value] : PendingRequests)
    IncludeDeadline(
        std::min(Value.NextTry, Value.RequestedAt + Options.MaxWait));
  for (const auto &[Identity, Value] : PendingReports)
    IncludeDeadline(Value.NextTry);
  return Next;
}

} // namespace banyanworks
