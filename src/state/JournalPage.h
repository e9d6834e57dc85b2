/// \file
/// Defines JournalPage, a store value that holds the records of many jobs.
#ifndef BANYANWORKS_STATE_JOURNALPAGE_H
#define BANYANWORKS_STATE_JOURNALPAGE_H

#include "base/Ids.h"
#include "base/Reason.h"
#include "model/Job.h"
#include "state/WriteIdentity.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace banyanworks {

/// Number of pages; a hash of the job id selects the page.
inline constexpr std::uint64_t JournalPages = 8;
/// Page size in bytes above which a page accepts no more jobs.
inline constexpr std::size_t JournalPageLimit = 900 << 10;
/// Ended jobs that a page retains to detect repeated submissions.
inline constexpr std::size_t EndedJobsPerPage = 500;
/// Key prefix of the pages.
inline constexpr std::string_view JournalPrefix = "jobs/page/";

/// The record of an accepted job.
struct JournalEntry {
  /// The failure domain that schedules the job.
  DomainId Domain;
  JobPhase Phase = JobPhase::Queued;
  Reason Cause = Reason::None;
  /// The encoded JobSpec; removed when the job ends.
  std::string Payload;
  /// Position in the order in which the page's entries were last written.
  std::uint64_t Sequence = 0;

  bool operator==(const JournalEntry &) const = default;
};

/// True if a job in that phase has ended.
bool isTerminalPhase(JobPhase Phase);

/// The records of the jobs that hash to one page.
class JournalPage {
public:
  /// Adds a job; returns the existing entry instead if the page has one.
  std::optional<JournalEntry> accept(JobId Job, const DomainId &Domain,
                                     std::string Payload);
  /// Records the final phase of a job and drops the oldest ended jobs. Adds a
  /// job without an entry, such as one that was accepted in an outage.
  void end(JobId Job, const DomainId &Domain, JobPhase Phase, Reason Cause);

  /// The epoch of the last owner of the domain that wrote the page; zero if
  /// there is none. An owner with an older epoch must not write any more.
  Epoch ownerOf(const DomainId &Domain) const;
  void setOwner(const DomainId &Domain, Epoch Term) { Owners[Domain] = Term; }

  const std::map<JobId, JournalEntry> &entries() const { return Entries; }
  /// Estimated upper bound of the encoded size in bytes.
  std::size_t bytes() const { return Bytes; }

  std::string encode(const WriteIdentity &Identity) const;
  /// Decodes the output of encode(); returns nothing if the value is malformed.
  static std::optional<JournalPage> decode(std::string_view Value);

private:
  void put(JobId Job, JournalEntry Entry);
  void dropOldestEnded();

  std::map<JobId, JournalEntry> Entries;
  std::map<DomainId, Epoch> Owners;
  std::uint64_t LastSequence = 0;
  std::size_t Bytes = 0;
  std::size_t EndedCount = 0;
};

/// The index of the page that holds a job.
std::uint64_t journalPageOf(JobId Job);
/// The store key of a page.
std::string journalPageKey(std::uint64_t Page);

} // namespace banyanworks

#endif
