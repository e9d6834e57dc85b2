/// \file
/// Implements the rig of journals.
#include "support/JournalRig.h"

#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(5);

} // namespace

JournalRig::JournalRig(std::size_t Domains) : Owners(Domains) {
  for (std::size_t I = 0; I != Domains; ++I)
    restart(I);
}

void JournalRig::restart(std::size_t Domain) {
  ++Starts;
  Owner &Each = Owners[Domain];
  Each.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Each.Journal = std::make_unique<JobJournal>(
      DomainId("d" + std::to_string(Domain)), Starts);
  Each.Asked.clear();
  Each.Loaded.reset();
  handle(Domain, JournalLoad{Epoch(Starts)});
}

void JournalRig::submit(std::size_t Domain, JobId Job) {
  handle(Domain, JournalAccept{Job, std::string(300, 'x')});
}

void JournalRig::end(std::size_t Domain, JobId Job) {
  handle(Domain, JournalEnd{Job, JobPhase::Succeeded, Reason::None});
}

void JournalRig::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;) {
    Now += StepLength;
    for (std::size_t I = 0; I != Owners.size(); ++I) {
      for (StoreOutcome &Outcome : Owners[I].Driver->step(Now)) {
        auto Found = Owners[I].Asked.find(Outcome.Operation);
        if (Found == Owners[I].Asked.end())
          continue;
        StoreTag Tag = Found->second;
        Owners[I].Asked.erase(Found);
        handle(I, JournalStoreAnswered{Tag, std::move(Outcome)});
      }
      handle(I, JournalTick{});
    }
  }
}

void JournalRig::handle(std::size_t Domain, const JournalEvent &Event) {
  Owner &Each = Owners[Domain];
  for (const JournalAction &Action : Each.Journal->handle(Event, Now))
    perform(Each, Action);
}

void JournalRig::perform(Owner &Each, const JournalAction &Action) {
  if (const auto *Ask = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id =
        Each.Driver->client().submit(Ask->Request, Now, Now + Ask->Timeout);
    Each.Asked[Id] = Ask->Tag;
  } else if (const auto *Answer = std::get_if<AcceptCompleted>(&Action)) {
    Each.Answers[Answer->Job] = Answer->Result;
  } else if (const auto *Known = std::get_if<AcceptResolved>(&Action)) {
    Each.Settled[Known->Job] = Known->Recorded;
  } else if (const auto *Over = std::get_if<EndRecorded>(&Action)) {
    Each.Ended.insert(Over->Job);
  } else if (const auto *All = std::get_if<JournalLoaded>(&Action)) {
    Each.Loaded = *All;
  }
}

std::optional<AcceptResult> JournalRig::answer(std::size_t Domain,
                                               JobId Job) const {
  auto Found = Owners[Domain].Answers.find(Job);
  if (Found == Owners[Domain].Answers.end())
    return std::nullopt;
  return Found->second;
}

std::optional<bool> JournalRig::settled(std::size_t Domain, JobId Job) const {
  auto Found = Owners[Domain].Settled.find(Job);
  if (Found == Owners[Domain].Settled.end())
    return std::nullopt;
  return Found->second;
}

std::size_t JournalRig::schedulers(JobId Job) const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I != Owners.size(); ++I)
    if (answer(I, Job) == AcceptResult::Accepted || settled(I, Job) == true)
      ++Count;
  return Count;
}

} // namespace banyanworks::testing
