/// \file
/// Defines JournalSimulation, which simulates the job journals of several
/// failure domains over one store.
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

/// Runs one journal per failure domain in virtual time and records the results.
class JournalSimulation {
public:
  explicit JournalSimulation(std::size_t Domains);

  void submit(std::size_t Domain, JobId Job);
  void end(std::size_t Domain, JobId Job);
  /// Replaces the owner of a domain by a new process, which loads the journal.
  void restart(std::size_t Domain);
  void advance(Duration Span);

  /// Returns the last result of the acceptance of a job in a domain.
  std::optional<AcceptResult> answer(std::size_t Domain, JobId Job) const;
  /// Returns whether an acceptance of unknown outcome turned out to be
  /// recorded; nullopt if there was none or it is not resolved yet.
  std::optional<bool> resolution(std::size_t Domain, JobId Job) const;
  const std::optional<JournalLoaded> &loaded(std::size_t Domain) const {
    return Owners[Domain].Loaded;
  }
  const std::set<JobId> &ended(std::size_t Domain) const {
    return Owners[Domain].Ended;
  }
  /// Returns the number of domains in which a job may be scheduled, because it
  /// was accepted there or its acceptance was later resolved as recorded.
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
