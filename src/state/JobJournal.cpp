/// \file
/// Implements the group commits of the job journal.
#include "state/JobJournal.h"

#include <utility>

namespace banyanworks {

namespace {

/// Submissions that come this close together share the first write.
constexpr Duration Linger = std::chrono::milliseconds(5);
/// Writes of one page follow each other no faster than this.
constexpr Duration WriteInterval = std::chrono::milliseconds(100);
constexpr Duration WriteLimit = std::chrono::seconds(3);
constexpr Duration ReadLimit = std::chrono::seconds(2);
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
constexpr Duration RetryHint = std::chrono::seconds(2);

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
      PageState &Each = Journal.Pages[I];
      Each.UpToDate = false;
      Each.LoadPending = true;
      if (!Each.Reading)
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
  PageState &Each = Pages[journalPageOf(Event.Job)];
  auto Known = Each.Page.entries().find(Event.Job);
  if (Known != Each.Page.entries().end()) {
    Out.emplace_back(AcceptCompleted{Event.Job,
                                     AcceptResult::AlreadyKnown,
                                     Reason::None,
                                     Known->second,
                                     {}});
    return;
  }
  if (Each.Unresolved.contains(Event.Job)) {
    Out.emplace_back(AcceptCompleted{Event.Job,
                                     AcceptResult::Unknown,
                                     Reason::OutcomeUnknown,
                                     {},
                                     RetryHint});
    return;
  }
  if (Each.Page.bytes() + Event.Payload.size() > JournalPageLimit) {
    Out.emplace_back(AcceptCompleted{
        Event.Job, AcceptResult::Refused, Reason::QueueFull, {}, RetryHint});
    return;
  }
  bool Idle = Each.PendingAccepts.empty() && Each.PendingEnds.empty();
  if (Idle && Each.NextWrite < Now + Linger)
    Each.NextWrite = Now + Linger;
  if (!Each.InFlightAccepts.contains(Event.Job))
    Each.PendingAccepts.emplace(Event.Job, Event.Payload);
}

void JobJournal::advance(TimePoint Now, Actions &Out) {
  for (std::uint64_t I = 0; I != JournalPages; ++I) {
    PageState &Each = Pages[I];
    if (Each.Reading || Each.Writing)
      continue;
    bool Work = !Each.PendingAccepts.empty() || !Each.PendingEnds.empty() ||
                Each.NeedsFencingWrite;
    bool MustRead = !Each.UpToDate && (Work || !Each.Unresolved.empty());
    if (MustRead && Now >= Each.NextRead)
      read(I, Out);
    else if (Work && Each.UpToDate && Now >= Each.NextWrite)
      write(I, Now, Out);
  }
}

void JobJournal::read(std::uint64_t Index, Actions &Out) {
  Pages[Index].Reading = true;
  Out.emplace_back(StoreCommand{readTag(Index),
                                GetRequest{journalPageKey(Index)}, ReadLimit});
}

void JobJournal::write(std::uint64_t Index, TimePoint Now, Actions &Out) {
  PageState &Each = Pages[Index];
  if (refuseIfSuperseded(Each, Out))
    return;
  JournalPage Next = Each.Page;
  Next.setOwner(Domain, Term);
  for (auto &[Job, Payload] : Each.PendingAccepts) {
    if (auto Known = Next.accept(Job, Domain, Payload)) {
      // A write of this journal whose answer was lost may have put it there.
      bool Mine = Each.Attempted.erase(Job) > 0 && Known->Domain == Domain &&
                  !isTerminalPhase(Known->Phase);
      Out.emplace_back(AcceptCompleted{Job,
                                       Mine ? AcceptResult::Accepted
                                            : AcceptResult::AlreadyKnown,
                                       Reason::None,
                                       Known,
                                       {}});
      continue;
    }
    Each.Attempted.insert(Job);
    Each.InFlightAccepts.emplace(Job, std::move(Payload));
  }
  Each.PendingAccepts.clear();
  Each.InFlightEnds = std::exchange(Each.PendingEnds, {});
  for (const auto &[Job, End] : Each.InFlightEnds)
    Next.end(Job, Domain, End.Phase, End.Why);
  if (Each.InFlightAccepts.empty() && Each.InFlightEnds.empty() &&
      !Each.NeedsFencingWrite)
    return;
  ++Writes;
  Each.Writing = true;
  Each.NextWrite = Now + WriteInterval;
  std::string Value = Next.encode({Incarnation(Process), Writes});
  Each.InFlightPage = std::move(Next);
  Out.emplace_back(StoreCommand{
      writeTag(Index),
      PutRequest{
          journalPageKey(Index), std::move(Value), Each.StoreVersion, {}},
      WriteLimit});
}

void JobJournal::onPageRead(std::uint64_t Index, const StoreOutcome &Outcome,
                            TimePoint Now, Actions &Out) {
  PageState &Each = Pages[Index];
  Each.Reading = false;
  bool Read = Outcome.Status == StoreStatus::Done;
  StoreUnavailable = !Read;
  if (!Read) {
    Each.NextRead = Now + RetryInterval;
    refuseAccepts(Each, Outcome.Why, Out);
    finishPageLoad(Each, false, Out);
    return;
  }
  updatePage(Each, entryOf(Outcome.Answer));
  resolveAccepts(Each, Out);
  Each.NeedsFencingWrite = Each.NeedsFencingWrite || Each.LoadPending;
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
  // A read may have been answered before a write that ended first.
  if (State.UpToDate && Entry && Entry->Version < State.StoreVersion)
    return;
  State.UpToDate = true;
  State.StoreVersion = Entry ? Entry->Version : StoreRevision();
  auto Page = Entry ? JournalPage::decode(Entry->Value) : std::nullopt;
  // A damaged page is kept as it was last seen rather than overwritten empty.
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
  // The lost write may still be under way. It fails once the page has another
  // version, so another write settles what the page does not show.
  State.NeedsFencingWrite = !State.Unresolved.empty();
}

void JobJournal::refuseAccepts(PageState &State, Reason Why, Actions &Out) {
  for (const auto &Entry : std::exchange(State.PendingAccepts, {}))
    Out.emplace_back(AcceptCompleted{
        Entry.first, AcceptResult::Refused, Why, {}, RetryHint});
}

void JobJournal::onPageWritten(std::uint64_t Index, const StoreOutcome &Outcome,
                               TimePoint Now, Actions &Out) {
  PageState &Each = Pages[Index];
  Each.Writing = false;
  StoreUnavailable = Outcome.Why == Reason::StoreUnavailable;
  switch (Outcome.Status) {
  case StoreStatus::Done:
    if (const auto *Done = std::get_if<WrittenAnswer>(&Outcome.Answer.Result))
      Each.StoreVersion = Done->Version;
    onWriteSucceeded(Each, Out);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::Overwritten:
    // Pages only grow by others' writes, so what this write carried is either
    // in the page that is there now, or was never written.
    updatePage(Each, entryOf(Outcome.Answer));
    requeue(Each);
    Each.NextWrite = Now;
    return;
  case StoreStatus::NotApplied:
    requeue(Each);
    for (const auto &Entry : Each.PendingAccepts)
      Each.Attempted.erase(Entry.first);
    refuseAccepts(Each, Outcome.Why, Out);
    finishPageLoad(Each, false, Out);
    Each.NextWrite = Now + RetryInterval;
    return;
  case StoreStatus::Unknown:
    onWriteUnknown(Each, Out);
    finishPageLoad(Each, false, Out);
    Each.NextRead = Now + RetryInterval;
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
    Out.emplace_back(AcceptCompleted{
        Job, AcceptResult::Unknown, Reason::OutcomeUnknown, {}, RetryHint});
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
  for (const PageState &Each : Pages) {
    Count += Each.PendingAccepts.size() + Each.PendingEnds.size() +
             Each.InFlightAccepts.size() + Each.InFlightEnds.size() +
             Each.Unresolved.size();
  }
  return Count;
}

} // namespace banyanworks
