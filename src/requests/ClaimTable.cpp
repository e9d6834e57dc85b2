/// \file
/// Implements ClaimTable.
#include "requests/ClaimTable.h"

namespace banyanworks {

void ClaimTable::clear() {
  Entries.clear();
  Expiries.clear();
}

void ClaimTable::apply(TimePoint Now, const ClaimBatch &Batch) {
  for (const ClaimOutcome &Outcome : Batch.Outcomes) {
    if (!closesOpenClaim(Outcome))
      continue;
    Entry &Stored = Entries[{Outcome.Workspace, Outcome.Key}];
    Stored.State = Outcome.State;
    Stored.Status = Outcome.Status;
  }
  for (const Claim &Candidate : Batch.Claims) {
    if (!isKeyFree(Candidate))
      continue;
    FullKey Key{Candidate.Workspace, Candidate.Key};
    Entries[Key] = Entry{Candidate.Identity, Candidate.Body};
    Expiries.push_back({Now + Retention, Key, Candidate.Identity});
  }
}

void ClaimTable::removeExpired(TimePoint Now) {
  while (!Expiries.empty() && Expiries.front().ExpiresAt <= Now) {
    const Expiry &Oldest = Expiries.front();
    auto Found = Entries.find(Oldest.Key);
    if (Found != Entries.end() && Found->second.Identity == Oldest.Identity)
      Entries.erase(Found);
    Expiries.pop_front();
  }
}

bool ClaimTable::isKeyFree(const Claim &Candidate) const {
  auto Found = Entries.find({Candidate.Workspace, Candidate.Key});
  return Found == Entries.end() ||
         (Found->second.State == ClaimState::Released &&
          Found->second.Identity != Candidate.Identity);
}

bool ClaimTable::closesOpenClaim(const ClaimOutcome &Outcome) const {
  auto Found = Entries.find({Outcome.Workspace, Outcome.Key});
  return Found != Entries.end() && Found->second.Identity == Outcome.Identity &&
         Found->second.State == ClaimState::Open;
}

bool ClaimTable::isClosed(const ClaimOutcome &Outcome) const {
  auto Found = Entries.find({Outcome.Workspace, Outcome.Key});
  return Found != Entries.end() && Found->second.Identity == Outcome.Identity &&
         Found->second.State != ClaimState::Open;
}

ClaimDecision ClaimTable::decisionFor(const Claim &Candidate) const {
  ClaimDecision Result;
  Result.Identity = Candidate.Identity;
  auto Found = Entries.find({Candidate.Workspace, Candidate.Key});
  if (Found == Entries.end())
    return Result;
  const Entry &Stored = Found->second;
  Result.Holder = Stored.Identity;
  Result.HolderState = Stored.State;
  Result.Status = Stored.Status;
  if (Stored.State == ClaimState::Released)
    return Result;
  if (Stored.Body != Candidate.Body)
    Result.Result = ClaimResult::KeyReused;
  else if (Stored.Identity != Candidate.Identity ||
           Stored.State != ClaimState::Open)
    Result.Result = ClaimResult::HeldByEarlierClaim;
  else
    Result.Result = ClaimResult::Granted;
  return Result;
}

} // namespace banyanworks
