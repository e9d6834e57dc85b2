/// \file
/// Defines JournalRig, the journals of several domains over one store.
#ifndef BANYANWORKS_TEST_SUPPORT_JOURNALSIMULATION_H
#define BANYANWORKS_TEST_SUPPORT_JOURNALSIMULATION_H

#include "state/JobJournal.h"
#include "support/StoreDriver.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks::testing {

/// Runs journals in virtual time and keeps their answers.
class JournalSimulation {
public:
  explicit JournalSimulation(std::size_t Domains);

  void submit(std::size_t Domain, JobId Job);
  void end(std::size_t Domain, JobId Job);
  /// A new owner with a new process reads the pages.
  void restart(std::size_t Domain);
  void advance(Duration Span);

  /// The last answer about a job in a domain.
  std::optional<AcceptResult> answer(std::size_t Domain, JobId Job) const;
  std::optional<bool> resolution(std::size_t Domain, JobId Job) const;
  const std::optional<JournalLoaded> &loaded(std::size_t Domain) const {
    return Owners[Domain].Loaded;
  }
  const std::set<JobId> &ended(std::size_t Domain) const {
    return Owners[Domain].Ended;
  }
  /// Domains in which a job may be scheduled: accepted there, or settled so.
  std::size_t schedulingDomains(JobId Job) const;
  JobJournal &journal(std::size_t Domain) { return *Owners[Domain].Journal; }

  FakeStore Store;
  TimePoint Now{std::chrono::seconds(100)};

private:
  struct Owner {
    std::unique_ptr<StoreDriver> Driver;
    std::unique_ptr<JobJournal> Journal;
    std::map<StoreOperationId, StoreTag> PendingOperations;
    std::map<JobId, AcceptResult> Answers;
    std::map<JobId, bool> Resolutions;
    std::set<JobId> Ended;
    std::optional<JournalLoaded> Loaded;
  };

  void handle(std::size_t Domain, const JournalEvent &Event);
  void perform(Owner &Target, const JournalAction &Action);

  std::vector<Owner> Owners;
  std::uint32_t Starts = 0;
};

} // namespace banyanworks::testing

#endif
