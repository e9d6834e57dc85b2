/// \file
/// Defines JobJournal, which records accepted and ended jobs in the store by
/// group commit before the caller gets a response.
#ifndef BANYANWORKS_STATE_JOBJOURNAL_H
#define BANYANWORKS_STATE_JOBJOURNAL_H

#include "state/JournalPage.h"
#include "state/StoreCommand.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace banyanworks {

/// Periodic tick.
struct JournalTick {};
/// Loads all pages for a new owner and writes its epoch into them, which fences
/// off writes of earlier owners.
struct JournalLoad {
  Epoch Term;
};
/// Requests the record of a job that this domain schedules.
struct JournalAccept {
  JobId Job;
  std::string Payload;
};
/// Requests the record of a job's final phase.
struct JournalEnd {
  JobId Job;
  JobPhase Phase = JobPhase::Succeeded;
  Reason Cause = Reason::None;
};
/// A store operation that the journal requested has completed.
struct JournalStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};

using JournalEvent = std::variant<JournalTick, JournalLoad, JournalAccept,
                                  JournalEnd, JournalStoreAnswered>;

/// The outcome of recording a job.
enum class AcceptResult : std::uint8_t {
  /// The record is durable and this domain schedules the job.
  Accepted,
  /// The job was accepted earlier; the entry gives its domain and phase.
  AlreadyKnown,
  /// The record was not written and will not be; the job does not run.
  Refused,
  /// The record may have been written. AcceptResolved follows once the outcome
  /// is known; until then the job is not scheduled.
  Unknown,
};

/// The response to JournalAccept.
struct AcceptCompleted {
  JobId Job;
  AcceptResult Result = AcceptResult::Unknown;
  Reason Cause = Reason::None;
  std::optional<JournalEntry> ExistingEntry;
  Duration RetryAfter{};
};
/// The outcome of a record whose result was Unknown.
struct AcceptResolved {
  JobId Job;
  /// True if this domain schedules the job.
  bool Recorded = false;
};
/// The final phase of a job is durable.
struct EndRecorded {
  JobId Job;
};
/// The result of JournalLoad: the records of this domain's jobs that have not
/// ended.
struct JournalLoaded {
  /// False if at least one page could not be loaded.
  bool Complete = false;
  std::map<JobId, JournalEntry> Jobs;
};

using JournalAction = std::variant<StoreCommand, AcceptCompleted,
                                   AcceptResolved, EndRecorded, JournalLoaded>;

/// The job journal of one failure domain's owner. All domains update the same
/// pages by compare-and-swap, so only one of them accepts a job that was
/// submitted in several.
class JobJournal {
public:
  JobJournal(DomainId Domain, std::uint64_t Process);

  std::vector<JournalAction> handle(const JournalEvent &Event, TimePoint Now);

  /// Number of jobs whose record is queued, in flight or unresolved.
  std::size_t pending() const;
  /// Number of page writes requested so far.
  std::uint64_t writes() const { return Writes; }
  /// True if the last store operation was a read that failed for any reason, or
  /// a write that failed because the store was unavailable.
  bool storeUnavailable() const { return StoreUnavailable; }

private:
  struct Visitor;
  struct PageState {
    /// The last known content of the page and its version in the store.
    JournalPage Page;
    StoreRevision StoreVersion;
    bool UpToDate = false;
    std::map<JobId, std::string> PendingAccepts;
    std::map<JobId, JournalEnd> PendingEnds;
    /// The accepts, ends and resulting page of the write in flight.
    std::map<JobId, std::string> InFlightAccepts;
    std::map<JobId, JournalEnd> InFlightEnds;
    JournalPage InFlightPage;
    /// Accepts that at least one unsuccessful write contained.
    std::set<JobId> Attempted;
    /// Accepts that completed with Unknown.
    std::set<JobId> Unresolved;
    /// True while another write is needed to make sure that no earlier write
    /// can still take effect.
    bool NeedsFencingWrite = false;
    /// True while a load still needs this page.
    bool LoadPending = false;
    bool Reading = false;
    bool Writing = false;
    TimePoint NextWrite;
    TimePoint NextRead;
  };
  using Actions = std::vector<JournalAction>;

  void accept(const JournalAccept &Event, TimePoint Now, Actions &Out);
  void advance(TimePoint Now, Actions &Out);
  void read(std::uint64_t Index, Actions &Out);
  void write(std::uint64_t Index, TimePoint Now, Actions &Out);
  void onPageRead(std::uint64_t Index, const StoreOutcome &Outcome,
                  TimePoint Now, Actions &Out);
  void onPageWritten(std::uint64_t Index, const StoreOutcome &Outcome,
                     TimePoint Now, Actions &Out);
  void updatePage(PageState &State, const std::optional<StoreEntry> &Entry);
  void resolveAccepts(PageState &State, Actions &Out);
  void refuseAccepts(PageState &State, Reason Cause, Actions &Out);
  void onWriteSucceeded(PageState &State, Actions &Out);
  void onWriteUnknown(PageState &State, Actions &Out);
  void requeue(PageState &State);
  void finishPageLoad(PageState &State, bool Complete, Actions &Out);
  /// Returns true and refuses all queued records if a newer owner wrote the
  /// page.
  bool refuseIfSuperseded(PageState &State, Actions &Out);

  DomainId Domain;
  std::uint64_t Process;
  std::array<PageState, JournalPages> Pages;
  std::uint64_t Writes = 0;
  Epoch Term;
  std::size_t PagesToLoad = 0;
  bool LoadComplete = true;
  bool StoreUnavailable = false;
};

} // namespace banyanworks

#endif
