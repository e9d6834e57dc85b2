/// \file
/// Defines JobJournal, which records accepted and ended jobs in the store
/// before they are answered, many in one write.
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

/// Time passed.
struct JournalTick {};
/// Reads all pages, as a new owner does, and writes its epoch into them, so
/// that no write of an earlier owner can take effect afterwards.
struct JournalLoad {
  Epoch Term;
};
/// Records a job that this domain is to schedule.
struct JournalAccept {
  JobId Job;
  std::string Payload;
};
/// Records how a job ended.
struct JournalEnd {
  JobId Job;
  JobPhase Phase = JobPhase::Succeeded;
  Reason Why = Reason::None;
};
/// An operation that the journal asked for ended.
struct JournalStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};

using JournalEvent = std::variant<JournalTick, JournalLoad, JournalAccept,
                                  JournalEnd, JournalStoreAnswered>;

/// How recording a job ended.
enum class AcceptResult : std::uint8_t {
  /// The record is durable and this domain schedules the job.
  Accepted,
  /// The job was accepted before; the entry says where and how it stands.
  AlreadyKnown,
  /// The record was not written and never will be; the job does not run.
  Refused,
  /// The record may have been written. Once it is known, AcceptSettled
  /// follows; until then the job is not scheduled.
  Unknown,
};

/// The answer to JournalAccept.
struct AcceptCompleted {
  JobId Job;
  AcceptResult Result = AcceptResult::Unknown;
  Reason Why = Reason::None;
  std::optional<JournalEntry> Known;
  Duration RetryAfter{};
};
/// It is known what became of a record whose answer was Unknown.
struct AcceptResolved {
  JobId Job;
  /// True if this domain schedules the job.
  bool Recorded = false;
};
/// The end of a job is durable.
struct EndRecorded {
  JobId Job;
};
/// All records of this domain's jobs that have not ended.
struct JournalLoaded {
  /// False if the store did not give every page.
  bool Complete = false;
  std::map<JobId, JournalEntry> Jobs;
};

using JournalAction = std::variant<StoreCommand, AcceptCompleted,
                                   AcceptResolved, EndRecorded, JournalLoaded>;

/// The journal as the owner of one failure domain writes it. Every domain
/// writes the same pages by compare-and-swap, so a job that was submitted in
/// two domains is accepted by one of them.
class JobJournal {
public:
  JobJournal(DomainId Domain, std::uint64_t Process);

  std::vector<JournalAction> handle(const JournalEvent &Event, TimePoint Now);

  /// Jobs whose record is not settled.
  std::size_t pending() const;
  /// Writes that were asked for.
  std::uint64_t writes() const { return Writes; }
  /// True if the last operation on the store had no answer.
  bool storeUnavailable() const { return StoreUnavailable; }

private:
  struct Visitor;
  struct PageState {
    /// The page as it was last seen, with its version in the store.
    JournalPage Page;
    StoreRevision StoreVersion;
    bool UpToDate = false;
    std::map<JobId, std::string> PendingAccepts;
    std::map<JobId, JournalEnd> PendingEnds;
    /// What the write under way carries.
    std::map<JobId, std::string> InFlightAccepts;
    std::map<JobId, JournalEnd> InFlightEnds;
    JournalPage InFlightPage;
    /// Accepts that were written at least once without success.
    std::set<JobId> Attempted;
    /// Accepts that were answered Unknown.
    std::set<JobId> Unresolved;
    /// True while a write must show that no earlier one is still under way.
    bool NeedsFencingWrite = false;
    /// True while a load waits for the page.
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
  void refuseAccepts(PageState &State, Reason Why, Actions &Out);
  void onWriteSucceeded(PageState &State, Actions &Out);
  void onWriteUnknown(PageState &State, Actions &Out);
  void requeue(PageState &State);
  void finishPageLoad(PageState &State, bool Complete, Actions &Out);
  /// Refuses everything if a newer owner wrote the page; true if so.
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
