/// \file
/// Implements RestartWatch.
#include "pool/RestartWatch.h"

namespace banyanworks::pool {

void RestartWatch::seen(const WorkerId &Id, Incarnation Life, TimePoint Now) {
  if (Life == Incarnation())
    return;
  auto [Found, Inserted] = Lives.try_emplace(Id);
  Known &Last = Found->second;
  Last.UnlistedAt.reset();
  if (!Inserted && Last.Life != Life)
    Restarted[Id] = {Now + LongestDelay, Now};
  Last.Life = Life;
}

void RestartWatch::unlisted(const WorkerId &Id, TimePoint Now) {
  // An order to a worker that left long ago arrives no more.
  auto IsForgotten = [Now](const auto &Entry) {
    return Entry.second.UnlistedAt &&
           Now - *Entry.second.UnlistedAt >= LongestDelay;
  };
  std::erase_if(Lives, IsForgotten);
  if (auto Found = Lives.find(Id); Found != Lives.end())
    Found->second.UnlistedAt = Now;
  std::erase_if(Restarted, [this](const auto &Entry) {
    return !Lives.contains(Entry.first);
  });
}

void RestartWatch::reported(const WorkerId &Id, Incarnation Life,
                            TimePoint RequestedAt, TimePoint Now) {
  seen(Id, Life, Now);
  auto Found = Restarted.find(Id);
  if (Found != Restarted.end() && RequestedAt >= Found->second.Until)
    Restarted.erase(Found);
}

void RestartWatch::asked(const WorkerId &Id, TimePoint Now) {
  auto Found = Restarted.find(Id);
  if (Found != Restarted.end())
    Found->second.NextAskAt = Now + AskInterval;
}

bool RestartWatch::isDue(const WorkerId &Id, TimePoint Now) const {
  auto Found = Restarted.find(Id);
  return Found != Restarted.end() && Now >= Found->second.NextAskAt;
}

} // namespace banyanworks::pool
