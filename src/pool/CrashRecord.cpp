/// \file
/// Implements CrashRecord.
#include "pool/CrashRecord.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Losses of one member, as far as they count.
struct MemberLosses {
  std::size_t Total = 0;
  std::set<std::string> AddressesAtStart;
  /// Also where the age of the run is not known.
  std::set<std::string> AddressesUnclear;
  bool OnlyStart = false;
};

} // namespace

bool WorkerLoss::isSameAs(const WorkerLoss &Later) const {
  return Run != RunNumber() && Run == Later.Run && Member == Later.Member &&
         Worker == Later.Worker &&
         (Life == Later.Life || Later.Life == Incarnation());
}

bool CrashRecord::add(WorkerLoss Loss) {
  auto Known = std::find_if(
      Losses.begin(), Losses.end(),
      [&Loss](const WorkerLoss &Earlier) { return Earlier.isSameAs(Loss); });
  if (Known != Losses.end()) {
    Known->Proven = Known->Proven || Loss.Proven;
    return false;
  }
  if (Losses.size() == MaxKept)
    Losses.erase(Losses.begin());
  Losses.push_back(std::move(Loss));
  return true;
}

void CrashRecord::setKnownAt(TimePoint KnownAt) {
  for (WorkerLoss &Loss : Losses)
    Loss.KnownAt = KnownAt;
}

void CrashRecord::prove(const WorkerId &Worker) {
  for (WorkerLoss &Loss : Losses)
    Loss.Proven = Loss.Proven || Loss.Worker == Worker;
}

void CrashRecord::acquit(const WorkerId &Worker) {
  std::erase_if(Losses, [&Worker](const WorkerLoss &Loss) {
    return Loss.Worker == Worker;
  });
}

bool CrashRecord::runReported(Duration Age) {
  if (Age < StartWindow || Losses.empty())
    return false;
  if (Age >= ClearingAge) {
    Losses.clear();
    return true;
  }
  bool Cleared = isSuspect();
  for (WorkerLoss &Loss : Losses)
    Loss.Age = LossAge::Later;
  return Cleared;
}

bool CrashRecord::isSuspect(std::optional<std::uint32_t> Member) const {
  return std::any_of(
      Losses.begin(), Losses.end(), [Member](const WorkerLoss &Loss) {
        return Loss.speaksAgainstTask() && (!Member || Loss.Member == *Member);
      });
}

bool CrashRecord::isAtLimit() const {
  std::map<std::uint32_t, std::size_t> Counts;
  return Losses.size() >= MaxLosses &&
         std::any_of(Losses.begin(), Losses.end(),
                     [&Counts](const WorkerLoss &Loss) {
                       return ++Counts[Loss.Member] >= MaxLosses;
                     });
}

bool CrashRecord::hasLost(const std::string &Address) const {
  return std::any_of(
      Losses.begin(), Losses.end(),
      [&Address](const WorkerLoss &Loss) { return Loss.Address == Address; });
}

bool CrashRecord::isGuilty(bool HasLimit, bool ProvenOnly) const {
  std::map<std::uint32_t, MemberLosses> Members;
  for (const WorkerLoss &Loss : Losses) {
    if (ProvenOnly && !Loss.Proven)
      continue;
    MemberLosses &Counted = Members[Loss.Member];
    ++Counted.Total;
    // A successor may not know the address; it could be any of the others.
    if (Loss.Age == LossAge::Later || Loss.InOutage || Loss.Address.empty())
      continue;
    Counted.AddressesUnclear.insert(Loss.Address);
    if (!Loss.speaksAgainstTask())
      continue;
    Counted.AddressesAtStart.insert(Loss.Address);
    Counted.OnlyStart = Counted.OnlyStart || Loss.OnlyStart;
  }
  return std::any_of(
      Members.begin(), Members.end(), [HasLimit](const auto &Entry) {
        const MemberLosses &Counted = Entry.second;
        return Counted.AddressesUnclear.size() >= MaxUnclearCrashesAtStart ||
               (Counted.AddressesAtStart.size() >= MaxCrashesAtStart &&
                Counted.OnlyStart) ||
               (HasLimit && Counted.Total >= MaxLosses);
      });
}

TimePoint CrashRecord::lastKnownAt() const {
  TimePoint Last = TimePoint::min();
  for (const WorkerLoss &Loss : Losses)
    Last = std::max(Last, Loss.KnownAt);
  return Last;
}

CrashVerdict CrashRecord::verdict(bool HasLimit, TimePoint Now) const {
  if (Losses.empty())
    return CrashVerdict::Unsuspected;
  if (isGuilty(HasLimit, true))
    return CrashVerdict::Guilty;
  if (isGuilty(HasLimit, false)) {
    // Beyond the limit, the group waits until its losses are proven.
    if ((HasLimit && isAtLimit()) || Now < lastKnownAt() + HoldTime)
      return CrashVerdict::Held;
  }
  return isSuspect() ? CrashVerdict::Suspected : CrashVerdict::Unsuspected;
}

bool CrashRecord::waitsForIsolation(TimePoint Now) const {
  return isSuspect() && Now < lastKnownAt() + IsolationWait;
}

} // namespace banyanworks::pool
