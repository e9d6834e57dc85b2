/// \file
/// Implements ClaimLedger.
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
    Entry &Known = Entries[{Outcome.Workspace, Outcome.Key}];
    Known.State = Outcome.State;
    Known.Status = Outcome.Status;
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
  const Entry &Known = Found->second;
  Result.Holder = Known.Identity;
  Result.HolderState = Known.State;
  Result.Status = Known.Status;
  if (Known.State == ClaimState::Released)
    return Result;
  if (Known.Body != Candidate.Body)
    Result.Result = ClaimResult::KeyReused;
  else if (Known.Identity != Candidate.Identity ||
           Known.State != ClaimState::Open)
    Result.Result = ClaimResult::Held;
  else
    Result.Result = ClaimResult::Granted;
  return Result;
}

} // namespace banyanworks
