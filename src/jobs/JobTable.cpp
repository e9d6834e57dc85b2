/// \file
/// Implements the table of jobs.
#include "jobs/JobTable.h"

#include <utility>

namespace banyanworks {

Job *JobTable::add(std::shared_ptr<const JobSpec> Spec, TimePoint Now) {
  JobId Id = Spec->Id;
  auto [Entry, New] = Jobs.try_emplace(Id);
  if (!New)
    return nullptr;
  Entry->second.Spec = std::move(Spec);
  Entry->second.SubmittedAt = Now;
  Entry->second.PhaseSince = Now;
  Entry->second.NotBefore = Now;
  return &Entry->second;
}

Job *JobTable::find(JobId Id) {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const Job *JobTable::find(JobId Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

void JobTable::markTerminal(JobId Id, std::uint32_t MaxTerminal) {
  Terminal.push_back(Id);
  while (Terminal.size() > MaxTerminal) {
    Jobs.erase(Terminal.front());
    Terminal.pop_front();
  }
}

void JobTable::clear() {
  Jobs.clear();
  Terminal.clear();
}

} // namespace banyanworks
