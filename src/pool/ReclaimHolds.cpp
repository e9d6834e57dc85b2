/// \file
/// Implements ReclaimHolds.
#include "pool/ReclaimHolds.h"

#include <algorithm>

namespace banyanworks::pool {

Resources ReclaimHolds::heldForOthers(JobId Job, TimePoint Now,
                                      const Hold *Own) const {
  Resources Result;
  for (const Hold &Kept : Holds) {
    if (Kept.Job != Job && Now < Kept.Until &&
        !(Own && Kept.isInterchangeable(*Own)))
      Result += Kept.Held;
  }
  return Result;
}

void ReclaimHolds::recordPlacement(JobId Job, const Resources &Allocated) {
  for (Hold &Kept : Holds) {
    if (Kept.Job != Job)
      continue;
    Kept.Held -= Allocated;
    Kept.Held.MilliCores = std::max<std::int64_t>(0, Kept.Held.MilliCores);
    Kept.Held.MemoryMiB = std::max<std::int64_t>(0, Kept.Held.MemoryMiB);
    Kept.Held.Accelerators = std::max(0, Kept.Held.Accelerators);
    return;
  }
}

void ReclaimHolds::release(JobId Job) {
  std::erase_if(Holds, [Job](const Hold &Kept) { return Kept.Job == Job; });
}

void ReclaimHolds::transfer(JobId Job, const Hold &Next) {
  for (Hold &Kept : Holds) {
    if (Kept.Job != Job)
      continue;
    Kept.Job = Next.Job;
    Kept.Until = Next.Until;
  }
}

void ReclaimHolds::extend(JobId Job, TimePoint Until) {
  for (Hold &Kept : Holds)
    if (Kept.Job == Job)
      Kept.Until = Until;
}

bool ReclaimHolds::dropExpired(TimePoint Now) {
  return std::erase_if(
             Holds, [Now](const Hold &Kept) { return Now >= Kept.Until; }) > 0;
}

} // namespace banyanworks::pool
