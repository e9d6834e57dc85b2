/// \file
/// Implements SilentLosses.
#include "pool/SilentLosses.h"

#include "pool/CrashRecord.h"
#include "pool/PoolWorker.h"

#include <utility>

namespace banyanworks::pool {

void SilentLosses::add(const SilentWorker &Lost) {
  auto [Known, Inserted] = Workers.emplace(Lost.Id, Lost);
  if (Inserted)
    return;
  Known->second.Tasks.insert(Known->second.Tasks.end(), Lost.Tasks.begin(),
                             Lost.Tasks.end());
  Known->second.KnownAt = Lost.KnownAt;
}

std::optional<SilentWorker> SilentLosses::takeAnswered(const WorkerId &Id) {
  auto Taken = Workers.extract(Id);
  if (Taken.empty())
    return std::nullopt;
  return std::move(Taken.mapped());
}

template <class Predicate>
std::vector<SilentWorker> SilentLosses::takeIf(Predicate Matches) {
  std::vector<SilentWorker> Taken;
  for (auto At = Workers.begin(); At != Workers.end();) {
    auto Current = At++;
    if (!Matches(Current->second))
      continue;
    Taken.push_back(std::move(Current->second));
    Workers.erase(Current);
  }
  return Taken;
}

std::vector<SilentWorker> SilentLosses::takeReplaced(const PoolWorker &Listed) {
  return takeIf([&Listed](const SilentWorker &Lost) {
    return Lost.Id != Listed.Id && Lost.Address == Listed.Address;
  });
}

std::vector<SilentWorker>
SilentLosses::takeGone(TimePoint Now,
                       const std::function<bool(const WorkerId &)> &IsListed) {
  return takeIf([&](const SilentWorker &Lost) {
    return Now - Lost.KnownAt >= CrashRecord::GoneAfter && !IsListed(Lost.Id);
  });
}

} // namespace banyanworks::pool
