/// \file
/// Implements the simulation of journals.
#include "support/JournalSimulation.h"

#include <utility>

namespace banyanworks::testing {

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(5);

} // namespace

JournalSimulation::JournalSimulation(std::size_t Domains) : Owners(Domains) {
  for (std::size_t I = 0; I != Domains; ++I)
    restart(I);
}

void JournalSimulation::restart(std::size_t Domain) {
  ++Starts;
  Owner &Restarted = Owners[Domain];
  Restarted.Driver =
      std::make_unique<StoreDriver>(Store, StoreClientOptions(), Starts);
  Restarted.Journal = std::make_unique<JobJournal>(
      DomainId("d" + std::to_string(Domain)), Starts);
  Restarted.PendingOperations.clear();
  Restarted.Loaded.reset();
  handle(Domain, JournalLoad{Epoch(Starts)});
}

void JournalSimulation::submit(std::size_t Domain, JobId Job) {
  handle(Domain, JournalAccept{Job, std::string(300, 'x')});
}

void JournalSimulation::end(std::size_t Domain, JobId Job) {
  handle(Domain, JournalEnd{Job, JobPhase::Succeeded, Reason::None});
}

void JournalSimulation::advance(Duration Span) {
  for (TimePoint End = Now + Span; Now < End;) {
    Now += StepLength;
    for (std::size_t I = 0; I != Owners.size(); ++I) {
      for (StoreOutcome &Outcome : Owners[I].Driver->step(Now)) {
        auto Found = Owners[I].PendingOperations.find(Outcome.Operation);
        if (Found == Owners[I].PendingOperations.end())
          continue;
        StoreTag Tag = Found->second;
        Owners[I].PendingOperations.erase(Found);
        handle(I, JournalStoreAnswered{Tag, std::move(Outcome)});
      }
      handle(I, JournalTick{});
    }
  }
}

void JournalSimulation::handle(std::size_t Domain, const JournalEvent &Event) {
  Owner &Target = Owners[Domain];
  for (const JournalAction &Action : Target.Journal->handle(Event, Now))
    perform(Target, Action);
}

void JournalSimulation::perform(Owner &Target, const JournalAction &Action) {
  if (const auto *Command = std::get_if<StoreCommand>(&Action)) {
    StoreOperationId Id = Target.Driver->client().submit(
        Command->Request, Now, Now + Command->Timeout);
    Target.PendingOperations[Id] = Command->Tag;
  } else if (const auto *Answer = std::get_if<AcceptCompleted>(&Action)) {
    Target.Answers[Answer->Job] = Answer->Result;
  } else if (const auto *Resolved = std::get_if<AcceptResolved>(&Action)) {
    Target.Resolutions[Resolved->Job] = Resolved->Recorded;
  } else if (const auto *Recorded = std::get_if<EndRecorded>(&Action)) {
    Target.Ended.insert(Recorded->Job);
  } else if (const auto *Load = std::get_if<JournalLoaded>(&Action)) {
    Target.Loaded = *Load;
  }
}

std::optional<AcceptResult> JournalSimulation::answer(std::size_t Domain,
                                                      JobId Job) const {
  auto Found = Owners[Domain].Answers.find(Job);
  if (Found == Owners[Domain].Answers.end())
    return std::nullopt;
  return Found->second;
}

std::optional<bool> JournalSimulation::resolution(std::size_t Domain,
                                                  JobId Job) const {
  auto Found = Owners[Domain].Resolutions.find(Job);
  if (Found == Owners[Domain].Resolutions.end())
    return std::nullopt;
  return Found->second;
}

std::size_t JournalSimulation::schedulingDomains(JobId Job) const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I != Owners.size(); ++I)
    if (answer(I, Job) == AcceptResult::Accepted || resolution(I, Job) == true)
      ++Count;
  return Count;
}

} // namespace banyanworks::testing
