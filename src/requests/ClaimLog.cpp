/// \file
/// Implements ClaimLog. At most one store call is in flight at a time. The
/// daemon loads the log, opens it by a conditional write of the head record,
/// and then appends batches. A conflict means that another daemon appended; its
/// batches are merged before the next attempt.
#include "requests/ClaimLog.h"

#include <algorithm>

namespace banyanworks {

namespace {

/// A store call that is not sent within this time is dropped.
constexpr Duration CallValidity = std::chrono::seconds(2);
/// Time to live of batches in the store, in retention periods.
constexpr int RetentionsStored = 2;

} // namespace

ClaimLog::ClaimLog(const RouterSettings &Settings)
    : Options(Settings.Claims), Self(Settings.Self),
      SelfIncarnation(Settings.SelfIncarnation),
      Table(Settings.Claims.Retention) {}

ClaimIdentity ClaimLog::nextWriter() {
  return {Self, SelfIncarnation, ++Serial};
}

void ClaimLog::requestClaim(TimePoint Now, const DaemonId &Sender,
                            const Claim &Candidate) {
  Table.removeExpired(Now);
  ClaimDecision Decision = Table.decisionFor(Candidate);
  bool Decided = IsOpen && Decision.Result != ClaimResult::Unavailable;
  if (Decided || StoreUnavailable) {
    ProbeRequested = true;
    Responses.push_back({Sender, Decision, std::nullopt});
    return;
  }
  PendingClaims.push_back({Sender, Candidate});
}

void ClaimLog::reportOutcome(TimePoint Now, const DaemonId &Sender,
                             const ClaimOutcome &Outcome) {
  auto IsSameOutcome = [&](const PendingOutcome &Other) {
    return Other.Outcome == Outcome;
  };
  if (std::any_of(PendingOutcomes.begin(), PendingOutcomes.end(),
                  IsSameOutcome))
    return;
  if (Outcome.State == ClaimState::Released) {
    std::erase_if(PendingClaims, [&](const PendingClaim &Waiting) {
      return Waiting.Candidate.Identity == Outcome.Identity;
    });
  }
  PendingOutcomes.push_back({Sender, Outcome, Now});
}

bool ClaimLog::isDue(TimePoint Now) const {
  if (Now < PauseUntil || Now < LastSentAt + Options.WriteInterval)
    return false;
  if (InDoubtBatch || !PendingClaims.empty() ||
      (StoreUnavailable && ProbeRequested))
    return true;
  return !PendingOutcomes.empty() &&
         Now >= PendingOutcomes.front().QueuedAt + Options.OutcomeDelay;
}

std::optional<TimePoint> ClaimLog::nextDeadline() const {
  if (CurrentPhase != Phase::Idle)
    return std::nullopt;
  TimePoint Earliest = std::max(PauseUntil, LastSentAt + Options.WriteInterval);
  if (InDoubtBatch || !PendingClaims.empty() ||
      (StoreUnavailable && ProbeRequested))
    return Earliest;
  if (PendingOutcomes.empty())
    return std::nullopt;
  return std::max(Earliest,
                  PendingOutcomes.front().QueuedAt + Options.OutcomeDelay);
}

void ClaimLog::poll(TimePoint Now) {
  if (CurrentPhase != Phase::Idle || !isDue(Now))
    return;
  if (InDoubtBatch)
    return load(Now, InDoubtBatch->Batch.Number);
  if (!IsOpen || Now - EndConfirmedAt > Options.Retention / 2)
    return load(Now, 0);
  if (StoreUnavailable)
    return load(Now, NextNumber);
  write(Now);
}

void ClaimLog::load(TimePoint Now, std::uint64_t FirstNumber) {
  CurrentPhase = Phase::Loading;
  LastSentAt = Now;
  ProbeRequested = false;
  Actions.push_back(LoadClaims{FirstNumber});
}

void ClaimLog::onEvent(TimePoint Now, const ClaimsLoaded &Event) {
  if (CurrentPhase != Phase::Loading)
    return;
  CurrentPhase = Phase::Idle;
  if (!Event.Complete)
    return onStoreFailure(Now);
  onStoreAnswer();
  if (Event.FirstNumber == 0)
    return open(Now, Event);
  merge(Now, Event);
}

/// Rebuilds the table from the complete log and writes the head record.
void ClaimLog::open(TimePoint Now, const ClaimsLoaded &Event) {
  Table.clear();
  IsOpen = false;
  std::uint64_t Last = 0;
  for (const ClaimBatch &Batch : Event.Batches) {
    Table.apply(Now, Batch);
    Last = std::max(Last, Batch.Number);
  }
  // The daemon that wrote the head may still append from HeadStart on. Using
  // the same number makes one of the two writes fail with a conflict.
  NextNumber = std::max(Last + 1, Event.HeadStart);
  OpenWriter = nextWriter();
  CurrentPhase = Phase::Opening;
  LastSentAt = Now;
  Actions.push_back(OpenClaimLog{Event.HeadVersion, NextNumber, OpenWriter,
                                 Now + CallValidity});
}

void ClaimLog::onEvent(TimePoint Now, const ClaimLogOpened &Event) {
  if (CurrentPhase != Phase::Opening || Event.Writer != OpenWriter)
    return;
  CurrentPhase = Phase::Idle;
  switch (Event.Result) {
  case ClaimWrite::Done:
    onStoreAnswer();
    IsOpen = true;
    EndConfirmedAt = LastSentAt;
    LastSentAt = TimePoint();
    return;
  case ClaimWrite::Conflict:
    onStoreAnswer();
    return;
  case ClaimWrite::Unknown:
  case ClaimWrite::Unavailable:
    return onStoreFailure(Now);
  }
}

bool ClaimLog::fillOutcomes(PendingBatch &NextBatch) {
  while (!PendingOutcomes.empty() &&
         NextBatch.Batch.Outcomes.size() < Options.MaxBatch) {
    PendingOutcome Waiting = std::move(PendingOutcomes.front());
    PendingOutcomes.pop_front();
    if (Table.isClosed(Waiting.Outcome)) {
      acknowledge(Waiting);
      continue;
    }
    NextBatch.Batch.Outcomes.push_back(Waiting.Outcome);
    NextBatch.Outcomes.push_back(std::move(Waiting));
  }
  return !NextBatch.Outcomes.empty();
}

bool ClaimLog::fillClaims(PendingBatch &NextBatch) {
  // ClaimTable applies the outcomes of a batch before its claims, so keys
  // released in this batch can be claimed in it.
  std::set<std::pair<WorkspaceId, IdempotencyKey>> Released;
  for (const ClaimOutcome &Outcome : NextBatch.Batch.Outcomes)
    if (Outcome.State == ClaimState::Released && Table.closesOpenClaim(Outcome))
      Released.emplace(Outcome.Workspace, Outcome.Key);
  std::set<std::pair<WorkspaceId, IdempotencyKey>> BatchKeys;
  std::deque<PendingClaim> Later;
  for (PendingClaim &Waiting : PendingClaims) {
    std::pair Key(Waiting.Candidate.Workspace, Waiting.Candidate.Key);
    bool KeyIsFree =
        Table.isKeyFree(Waiting.Candidate) || Released.contains(Key);
    if (!KeyIsFree) {
      answer(Waiting);
      continue;
    }
    if (NextBatch.Claims.size() >= Options.MaxBatch ||
        !BatchKeys.insert(Key).second) {
      Later.push_back(std::move(Waiting));
      continue;
    }
    NextBatch.Batch.Claims.push_back(Waiting.Candidate);
    NextBatch.Claims.push_back(std::move(Waiting));
  }
  PendingClaims = std::move(Later);
  return !NextBatch.Claims.empty();
}

void ClaimLog::write(TimePoint Now) {
  Table.removeExpired(Now);
  PendingBatch Next;
  bool HasOutcomes = fillOutcomes(Next);
  bool HasClaims = fillClaims(Next);
  if (!HasOutcomes && !HasClaims)
    return;
  Next.Batch.Number = NextNumber;
  Next.Batch.Writer = nextWriter();
  InDoubtBatch = std::move(Next);
  send(Now);
}

void ClaimLog::send(TimePoint Now) {
  CurrentPhase = Phase::Writing;
  LastSentAt = Now;
  Actions.push_back(RecordClaims{InDoubtBatch->Batch, Now + CallValidity,
                                 Options.Retention * RetentionsStored});
}

void ClaimLog::onEvent(TimePoint Now, const ClaimAnswered &Event) {
  if (CurrentPhase != Phase::Writing || !InDoubtBatch ||
      Event.Writer != InDoubtBatch->Batch.Writer)
    return;
  CurrentPhase = Phase::Idle;
  switch (Event.Result) {
  case ClaimWrite::Done:
    onStoreAnswer();
    Table.apply(Now, InDoubtBatch->Batch);
    NextNumber = InDoubtBatch->Batch.Number + 1;
    EndConfirmedAt = LastSentAt;
    return completeBatch();
  case ClaimWrite::Conflict:
    onStoreAnswer();
    return load(Now, InDoubtBatch->Batch.Number);
  case ClaimWrite::Unknown:
  case ClaimWrite::Unavailable:
    return onStoreFailure(Now);
  }
}

/// Applies the batches from the in-doubt number on and determines whether this
/// daemon's batch or another one was created under that number.
void ClaimLog::merge(TimePoint Now, const ClaimsLoaded &Event) {
  bool OwnBatchFound = false;
  for (const ClaimBatch &Batch : Event.Batches) {
    if (Batch.Number != NextNumber)
      break;
    Table.apply(Now, Batch);
    OwnBatchFound =
        OwnBatchFound ||
        (InDoubtBatch && Batch.Writer == InDoubtBatch->Batch.Writer);
    EndConfirmedAt = LastSentAt;
    ++NextNumber;
  }
  if (!InDoubtBatch)
    return;
  if (OwnBatchFound)
    return completeBatch();
  bool Stale = Now - EndConfirmedAt > Options.Retention / 2;
  if (NextNumber == InDoubtBatch->Batch.Number && !Stale)
    return send(Now);
  // Records may have expired in the meantime, and the log may have been
  // restarted by another daemon.
  if (Stale)
    IsOpen = false;
  requeue();
}

/// Answers the requests and reports of a recorded batch.
void ClaimLog::completeBatch() {
  PendingBatch Completed = std::move(*InDoubtBatch);
  InDoubtBatch.reset();
  for (const PendingClaim &Waiting : Completed.Claims)
    answer(Waiting);
  for (const PendingOutcome &Waiting : Completed.Outcomes)
    acknowledge(Waiting);
}

/// Queues the contents of a batch again after another batch took its number.
void ClaimLog::requeue() {
  PendingBatch LostBatch = std::move(*InDoubtBatch);
  InDoubtBatch.reset();
  PendingClaims.insert(PendingClaims.begin(), LostBatch.Claims.begin(),
                       LostBatch.Claims.end());
  PendingOutcomes.insert(PendingOutcomes.begin(), LostBatch.Outcomes.begin(),
                         LostBatch.Outcomes.end());
  LastSentAt = TimePoint();
}

/// Refuses all pending claims immediately. An in-doubt claim may be recorded
/// later; this is safe, as a refused claim's request is never sent under that
/// identity.
void ClaimLog::onStoreFailure(TimePoint Now) {
  StoreUnavailable = true;
  PauseUntil = Now + Options.StoreBackoff;
  refusePending();
}

void ClaimLog::refusePending() {
  auto Refuse = [&](const PendingClaim &Waiting, const ClaimIdentity &Holder) {
    ClaimDecision Verdict;
    Verdict.Identity = Waiting.Candidate.Identity;
    Verdict.Holder = Holder;
    Responses.push_back({Waiting.Sender, Verdict, std::nullopt});
  };
  ProbeRequested = ProbeRequested || !PendingClaims.empty();
  for (const PendingClaim &Waiting : PendingClaims)
    Refuse(Waiting, ClaimIdentity());
  PendingClaims.clear();
  if (!InDoubtBatch)
    return;
  for (const PendingClaim &Waiting : InDoubtBatch->Claims)
    Refuse(Waiting, Waiting.Candidate.Identity);
  InDoubtBatch->Claims.clear();
}

void ClaimLog::answer(const PendingClaim &Waiting) {
  Responses.push_back(
      {Waiting.Sender, Table.decisionFor(Waiting.Candidate), std::nullopt});
}

void ClaimLog::acknowledge(const PendingOutcome &Waiting) {
  Responses.push_back({Waiting.Sender, std::nullopt, Waiting.Outcome.Identity});
}

} // namespace banyanworks
