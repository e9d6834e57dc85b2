/// \file
/// Implements ReclaimWaits.
#include "pool/ReclaimWaits.h"

namespace banyanworks::pool {

void ReclaimWaits::planned(JobId Job, TimePoint Until) {
  Wait &Entry = Waits[Job];
  Entry.Until = Until;
  Entry.Due = false;
}

std::vector<JobId> ReclaimWaits::takeEnded(TimePoint Now) {
  std::vector<JobId> Result;
  for (auto &[Job, Entry] : Waits) {
    if (Entry.Due || Now < Entry.Until)
      continue;
    Entry.InVain = true;
    Entry.Due = true;
    Result.push_back(Job);
  }
  return Result;
}

bool ReclaimWaits::isDue(JobId Job) const {
  auto Found = Waits.find(Job);
  return Found != Waits.end() && Found->second.Due;
}

bool ReclaimWaits::needsStops(JobId Job) const {
  auto Found = Waits.find(Job);
  return Found != Waits.end() && Found->second.InVain;
}

} // namespace banyanworks::pool
