/// \file
/// Defines JournalPage, one store value with the records of many jobs.
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

/// Pages over which the jobs of the deployment are spread by their id.
inline constexpr std::uint64_t JournalPages = 8;
/// A page that would be larger takes no more jobs, in bytes.
inline constexpr std::size_t JournalPageLimit = 900 << 10;
/// Ended jobs that a page remembers, so that a repeated submission is known.
inline constexpr std::size_t EndedJobsPerPage = 500;
/// The prefix of the pages' keys.
inline constexpr std::string_view JournalPrefix = "jobs/page/";

/// What the store keeps of an accepted job.
struct JournalEntry {
  /// The failure domain that schedules the job.
  DomainId Domain;
  JobPhase Phase = JobPhase::Queued;
  Reason Why = Reason::None;
  /// The encoded JobSpec; dropped when the job is over.
  std::string Payload;
  /// The order in which the page's entries were last written.
  std::uint64_t Sequence = 0;

  bool operator==(const JournalEntry &) const = default;
};

/// True if a job in that phase is over.
bool isTerminalPhase(JobPhase Phase);

/// The records of the jobs whose id belongs to one page.
class JournalPage {
public:
  /// Adds a job; returns the entry that stands in the way if it is known.
  std::optional<JournalEntry> accept(JobId Job, const DomainId &Domain,
                                     std::string Payload);
  /// Records how a job ended and forgets the oldest ended jobs. A job that the
  /// store did not know, as one accepted in an outage, is added.
  void end(JobId Job, const DomainId &Domain, JobPhase Phase, Reason Why);

  /// The epoch of the last owner of a domain that wrote the page; zero if none
  /// did. A writer of an older epoch must not write for the domain any more.
  Epoch ownerOf(const DomainId &Domain) const;
  void setOwner(const DomainId &Domain, Epoch Term) { Owners[Domain] = Term; }

  const std::map<JobId, JournalEntry> &entries() const { return Entries; }
  /// The size of the encoded page, roughly from above.
  std::size_t bytes() const { return Bytes; }

  std::string encode(const WriteIdentity &Identity) const;
  /// Reads what encode() wrote; nothing if the value is damaged.
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

/// The page of a job.
std::uint64_t journalPageOf(JobId Job);
/// The key of a page.
std::string journalPageKey(std::uint64_t Page);

} // namespace banyanworks

#endif
