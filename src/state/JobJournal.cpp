/// \file
/// Implements the group commits of the job journal.
#include "state/JobJournal.h"

#include <utility>

namespace banyanworks {

namespace {

/// Delay before the first write, so that concurrent submissions share it.
constexpr Duration GroupCommitDelay = std::chrono::milliseconds(5);
/// Minimum interval between two writes of one page.
constexpr Duration WriteInterval = std::chrono::milliseconds(100);
constexpr Duration WriteTimeout = std::chrono::seconds(3);
constexpr Duration ReadTimeout = std::chrono::seconds(2);
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
constexpr Duration RetryAfterHint = std::chrono::seconds(2);

constexpr StoreTag readTag(std::uint64_t Page) { return StoreTag(Page); }
constexpr StoreTag writeTag(std::uint64_t Page) {
  return StoreTag(JournalPages + Page);
}

std::optional<StoreEntry> entryOf(const StoreAnswer &Answer) {
  if (const auto *Read = std::get_if<EntryAnswer>(&Answer.Result))
    return Read->Entry;
  if (const auto *Conflict = std::get_if<ConflictAnswer>(&Answer.Result))
    return Conflict->Current;
  return std::nullopt;
}

} // namespace

struct JobJournal::Visitor {
  JobJournal &Journal;
  TimePoint Now;
  Actions &Out;

  void operator()(const JournalTick &) const {}
  void operator()(const JournalLoad &Event) const {
    Journal.Term = Event.Term;
    Journal.LoadComplete = true;
    Journal.PagesToLoad = JournalPages;
    for (std::uint64_t I = 0; I != JournalPages; ++I) {
      PageState &State = Journal.Pages[I];
      State.UpToDate = false;
      State.LoadPending = true;
      if (!State.Reading)
        Journal.read(I, Out);
    }
  }
  void operator()(const JournalAccept &Event) const {
    Journal.accept(Event, Now, Out);
  }
  void operator()(const JournalEnd &Event) const {
    Journal.Pages[journalPageOf(Event.Job)].PendingEnds[Event.Job] = Event;
  }
  void operator()(const JournalStoreAnswered &Event) const {
    std::uint64_t Tag = Event.Tag.value();
    if (Tag < JournalPages)
      Journal.onPageRead(Tag, Event.Outcome, Now, Out);
    else
      Journal.onPageWritten(Tag - JournalPages, Event.Outcome, Now, Out);
  }
};

JobJournal::JobJournal(DomainId Domain, std::uint64_t Process)
    : Domain(std::move(Domain)), Process(Process) {}

std::vector<JournalAction> JobJournal::handle(const JournalEvent &Event,
                                              TimePoint Now) {
  Actions Out;
  std::visit(Visitor{*this, Now, Out}, Event);
  advance(Now, Out);
  return Out;
}

void JobJournal::accept(const JournalAccept &Event, TimePoint Now,
                        Actions &Out) {
  PageState &State = Pages[journalPageOf(Event.Job)];
  auto Existing = State.Page.entries().find(Event.Job);
  if (Existing != State.Page.entries().end()) {
    Out.emplace_back(AcceptCompleted{Event.Job,
                                     AcceptResult::AlreadyKnown,
                                     Reason::None,
                                     Existing->second,
                                     {}});
    return;
  }
  if (State.Unresolved.contains(Event.Job)) {
    Out.emplace_back(AcceptCompleted{Event.Job,
                                     AcceptResult::Unknown,
                                     Reason::OutcomeUnknown,
                                     {},
                                     RetryAfterHint});
    return;
  }
  if (State.Page.bytes() + Event.Payload.size() > JournalPageLimit) {
    Out.emplace_back(AcceptCompleted{Event.Job,
                                     AcceptResult::Refused,
                                     Reason::QueueFull,
                                     {},
                                     RetryAfterHint});
    return;
  }
  bool Idle = State.PendingAccepts.empty() && State.PendingEnds.empty();
  if (Idle && State.NextWrite < Now + GroupCommitDelay)
    State.NextWrite = Now + GroupCommitDelay;
  if (!State.InFlightAccepts.contains(Event.Job))
    State.PendingAccepts.emplace(Event.Job, Event.Payload);
}

void JobJournal::advance(TimePoint Now, Actions &Out) {
  for (std::uint64_t I = 0; I != JournalPages; ++I) {
    PageState &State = Pages[I];
    if (State.Reading || State.Writing)
      continue;
    bool HasWork = !State.PendingAccepts.empty() ||
                   !State.PendingEnds.empty() || State.NeedsFencingWrite;
    bool MustRead = !State.UpToDate && (HasWork || !State.Unresolved.empty());
    if (MustRead && Now >= State.NextRead)
      read(I, Out);
    else if (HasWork && State.UpToDate && Now >= State.NextWrite)
      write(I, Now, Out);
  }
}

void JobJournal::read(std::uint64_t Index, Actions &Out) {
  Pages[Index].Reading = true;
  Out.emplace_back(StoreCommand{
      readTag(Index), GetRequest{journalPageKey(Index)}, ReadTimeout});
}

void JobJournal::write(std::uint64_t Index, TimePoint Now, Actions &Out) {
  PageState &State = Pages[Index];
  if (refuseIfSuperseded(State, Out))
    return;
  JournalPage Next = State.Page;
  Next.setOwner(Domain, Term);
  for (auto &[Job, Payload] : State.PendingAccepts) {
    if (auto Existing = Next.accept(Job, Domain, Payload)) {
      // The entry may come from an earlier write of this journal whose answer
      // was lost.
      bool IsOwnWrite = State.Attempted.erase(Job) > 0 &&
                        Existing->Domain == Domain &&
                        !isTerminalPhase(Existing->Phase);
      Out.emplace_back(AcceptCompleted{Job,
                                       IsOwnWrite ? AcceptResult::Accepted
                                                  : AcceptResult::AlreadyKnown,
                                       Reason::None,
                                       Existing,
                                       {}});
      continue;
    }
    State.Attempted.insert(Job);
    State.InFlightAccepts.emplace(Job, std::move(Payload));
  }
  State.PendingAccepts.clear();
  State.InFlightEnds = std::exchange(State.PendingEnds, {});
  for (const auto &[Job, End] : State.InFlightEnds)
    Next.end(Job, Domain, End.Phase, End.Cause);
  if (State.InFlightAccepts.empty() && State.InFlightEnds.empty() &&
      !State.NeedsFencingWrite)
    return;
  ++Writes;
  State.Writing = true;
  State.NextWrite = Now + WriteInterval;
  std::string Value = Next.encode({Incarnation(Process), Writes});
  State.InFlightPage = std::move(Next);
  Out.emplace_back(StoreCommand{
      writeTag(Index),
      PutRequest{
          journalPageKey(Index), std::move(Value), State.StoreVersion, {}},
      WriteTimeout});
}

void JobJournal::onPageRead(std::uint64_t Index, const StoreOutcome &Outcome,
                            TimePoint Now, Actions &Out) {
  PageState &State = Pages[Index];
  State.Reading = false;
  bool Read = Outcome.Status == StoreStatus::Done;
  StoreUnavailable = !Read;
  if (!Read) {
    State.NextRead = Now + RetryInterval;
    refuseAccepts(State, Outcome.Cause, Out);
    finishPageLoad(State, false, Out);
    return;
  }
  updatePage(State, entryOf(Outcome.Answer));
  resolveAccepts(State, Out);
  State.NeedsFencingWrite = State.NeedsFencingWrite || State.LoadPending;
}

void JobJournal::finishPageLoad(PageState &State, bool Complete, Actions &Out) {
  if (!std::exchange(State.LoadPending, false))
    return;
  LoadComplete = LoadComplete && Complete;
  if (--PagesToLoad != 0)
    return;
  JournalLoaded Loaded;
  Loaded.Complete = LoadComplete;
  for (const PageState &Loading : Pages) {
    for (const auto &[Job, Entry] : Loading.Page.entries()) {
      if (Entry.Domain == Domain && !isTerminalPhase(Entry.Phase))
        Loaded.Jobs.emplace(Job, Entry);
    }
  }
  Out.emplace_back(std::move(Loaded));
}

bool JobJournal::refuseIfSuperseded(PageState &State, Actions &Out) {
  if (State.Page.ownerOf(Domain) <= Term)
    return false;
  refuseAccepts(State, Reason::NotOwner, Out);
  for (JobId Job : std::exchange(State.Unresolved, {}))
    Out.emplace_back(AcceptResolved{Job, false});
  State.PendingEnds.clear();
  State.Attempted.clear();
  State.NeedsFencingWrite = false;
  finishPageLoad(State, false, Out);
  return true;
}

void JobJournal::updatePage(PageState &State,
                            const std::optional<StoreEntry> &Entry) {
  // A read may return an older version than a write that has completed since.
  if (State.UpToDate && Entry && Entry->Version < State.StoreVersion)
    return;
  State.UpToDate = true;
  State.StoreVersion = Entry ? Entry->Version : StoreRevision();
  auto Page = Entry ? JournalPage::decode(Entry->Value) : std::nullopt;
  // If the page is malformed, keep its last known content, so that the next
  // write does not replace the page by an empty one.
  if (Page)
    State.Page = std::move(*Page);
}

void JobJournal::resolveAccepts(PageState &State, Actions &Out) {
  for (auto It = State.Unresolved.begin(); It != State.Unresolved.end();) {
    auto Found = State.Page.entries().find(*It);
    if (Found == State.Page.entries().end()) {
      ++It;
      continue;
    }
    Out.emplace_back(AcceptResolved{*It, Found->second.Domain == Domain});
    It = State.Unresolved.erase(It);
  }
  // The lost write may still be in flight. It fails once the page has another
  // version, so a further write resolves the accepts that the page lacks.
  State.NeedsFencingWrite = !State.Unresolved.empty();
}

void JobJournal::refuseAccepts(PageState &State, Reason Cause, Actions &Out) {
  for (const auto &Entry : std::exchange(State.PendingAccepts, {}))
    Out.emplace_back(AcceptCompleted{
        Entry.first, AcceptResult::Refused, Cause, {}, RetryAfterHint});
}

void JobJournal::onPageWritten(std::uint64_t Index, const StoreOutcome &Outcome,
                               TimePoint Now, Actions &Out) {
  PageState &State = Pages[Index];
  State.Writing = false;
  StoreUnavailable = Outcome.Cause == Reason::StoreUnavailable;
  switch (Outcome.Status) {
  case StoreStatus::Done:
    if (const auto *Done = std::get_if<WrittenAnswer>(&Outcome.Answer.Result))
      State.StoreVersion = Done->Version;
    onWriteSucceeded(State, Out);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::Overwritten:
    // Writes of other owners only add entries, so the accepts of this write are
    // either in the current page or were never written.
    updatePage(State, entryOf(Outcome.Answer));
    requeue(State);
    State.NextWrite = Now;
    return;
  case StoreStatus::NotApplied:
    requeue(State);
    for (const auto &Entry : State.PendingAccepts)
      State.Attempted.erase(Entry.first);
    refuseAccepts(State, Outcome.Cause, Out);
    finishPageLoad(State, false, Out);
    State.NextWrite = Now + RetryInterval;
    return;
  case StoreStatus::Unknown:
    onWriteUnknown(State, Out);
    finishPageLoad(State, false, Out);
    State.NextRead = Now + RetryInterval;
    return;
  }
}

void JobJournal::onWriteSucceeded(PageState &State, Actions &Out) {
  State.Page = std::move(State.InFlightPage);
  State.InFlightPage = JournalPage();
  for (const auto &Entry : std::exchange(State.InFlightAccepts, {})) {
    State.Attempted.erase(Entry.first);
    Out.emplace_back(AcceptCompleted{
        Entry.first, AcceptResult::Accepted, Reason::None, {}, {}});
  }
  if (std::exchange(State.NeedsFencingWrite, false)) {
    for (JobId Job : std::exchange(State.Unresolved, {}))
      Out.emplace_back(AcceptResolved{Job, false});
  }
  for (const auto &Entry : std::exchange(State.InFlightEnds, {}))
    Out.emplace_back(EndRecorded{Entry.first});
  finishPageLoad(State, true, Out);
}

void JobJournal::onWriteUnknown(PageState &State, Actions &Out) {
  for (const auto &Entry : std::exchange(State.InFlightAccepts, {})) {
    JobId Job = Entry.first;
    Out.emplace_back(AcceptCompleted{Job,
                                     AcceptResult::Unknown,
                                     Reason::OutcomeUnknown,
                                     {},
                                     RetryAfterHint});
    State.Attempted.erase(Job);
    State.Unresolved.insert(Job);
  }
  State.UpToDate = false;
  requeue(State);
}

void JobJournal::requeue(PageState &State) {
  for (auto &Entry : std::exchange(State.InFlightEnds, {}))
    State.PendingEnds.insert(std::move(Entry));
  for (auto &Entry : std::exchange(State.InFlightAccepts, {}))
    State.PendingAccepts.insert(std::move(Entry));
}

std::size_t JobJournal::pending() const {
  std::size_t Count = 0;
  for (const PageState &State : Pages) {
    Count += State.PendingAccepts.size() + State.PendingEnds.size() +
             State.InFlightAccepts.size() + State.InFlightEnds.size() +
             State.Unresolved.size();
  }
  return Count;
}

} // namespace banyanworks
