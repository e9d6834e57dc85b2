/// \file
/// Every order of a small set of events, driven through the permission of
/// three owners and the acceptance of "out": no start after the bound.
#include "state/OutOfServiceTracker.h"
#include "state/StartPermission.h"

#include <array>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{100s};
constexpr ConfigVersion InVersion(1);
constexpr ConfigVersion OutVersion(2);

const std::array<DomainId, 3> Names{DomainId("d"), DomainId("e"),
                                    DomainId("f")};
const std::vector<DomainId> All(Names.begin(), Names.end());

/// What may happen next. Domain d is taken out, and its owner never hears of
/// it by itself; the owner of e may be replaced by one that knows nothing.
enum class Event : std::uint8_t {
  ShortWait,
  LongWait,
  WriteOut,
  AdoptAtE,
  AdoptAtF,
  ReadRoot,
  Ask,
  AnswerE,
  AnswerF,
  ReplaceE,
  LearnAtE,
  Count,
};

/// One daemon that owns a domain.
struct OwnerModel {
  StartPermission Permission;
  ConfigVersion Version;
  Epoch Term{1};
};

/// A state of the model; copied at each branch.
class Model {
public:
  explicit Model(const StartPermission::Options &Settings)
      : Settings(Settings), Owners{start(0), start(1), start(2)},
        Tracker(OutVersion, All, {}) {
    Now = Begin;
    for (OwnerModel &Each : Owners)
      Each.Permission.handle(RootConfirmed{InVersion, Now}, Now);
    wait(2s);
  }

  /// True if the event can happen and changes anything.
  bool possible(Event What) const {
    switch (What) {
    case Event::WriteOut:
      return !Written;
    case Event::AdoptAtE:
      return Written && Owners[1].Version < OutVersion;
    case Event::AdoptAtF:
      return Written && Owners[2].Version < OutVersion;
    case Event::ReadRoot:
      return LastRead != Now;
    case Event::Ask:
      return AskedAt != Now;
    case Event::AnswerE:
    case Event::AnswerF:
      return AskedAt != TimePoint() && !Answered[What == Event::AnswerF];
    case Event::ReplaceE:
      return !Replaced;
    case Event::LearnAtE:
      return Replaced && !Learned;
    default:
      return true;
    }
  }

  void apply(Event What) {
    switch (What) {
    case Event::ShortWait:
      return wait(500ms);
    case Event::LongWait:
      return wait(1500ms);
    case Event::WriteOut:
      Written = true;
      break;
    case Event::AdoptAtE:
      adopt(1);
      break;
    case Event::AdoptAtF:
      adopt(2);
      break;
    case Event::ReadRoot:
      LastRead = Now;
      give(0, RootConfirmed{Written ? OutVersion : InVersion, Now});
      break;
    case Event::Ask:
      AskedAt = Now;
      Answered = {};
      break;
    case Event::AnswerE:
      answer(0, 1, AskedAt);
      Answered[0] = true;
      break;
    case Event::AnswerF:
      answer(0, 2, AskedAt);
      Answered[1] = true;
      break;
    case Event::ReplaceE:
      Replaced = true;
      Owners[1] = start(1);
      Owners[1].Term = Epoch(2);
      break;
    case Event::LearnAtE:
      learn();
      break;
    case Event::Count:
      break;
    }
    confirm();
  }

  /// True if d may start work after the bound.
  bool broken() const {
    return AcceptedAt != TimePoint() &&
           Now > AcceptedAt + MaxStartDelayAfterOut &&
           Owners[0].Permission.mayStart(Now);
  }
  bool accepted() const { return AcceptedAt != TimePoint(); }
  bool mayStart() const { return Owners[0].Permission.mayStart(Now); }

private:
  OwnerModel start(std::size_t Index) const {
    OwnerModel Started{StartPermission(Names[Index], Settings), InVersion,
                       Epoch(1)};
    Started.Permission.handle(PermissionConfiguration{InVersion, true, All},
                              Now);
    Started.Permission.handle(PermissionOwnershipGained{}, Now);
    return Started;
  }

  void give(std::size_t To, const PermissionEvent &What) {
    Owners[To].Permission.handle(What, Now);
  }

  void wait(Duration Span) {
    Now += Span;
    for (std::size_t I = 0; I != Owners.size(); ++I)
      give(I, PermissionOwnershipStatus{false, Now});
    confirm();
  }

  void adopt(std::size_t Index) {
    Owners[Index].Version = OutVersion;
    give(Index, PermissionConfiguration{OutVersion, true, All});
  }

  void answer(std::size_t To, std::size_t From, TimePoint Asked) {
    if (Owners[From].Permission.mayVote(Now))
      give(To, OwnerVersionReported{Names[From], Owners[From].Version, Asked});
  }

  /// The new owner of e asks the others and takes over what they have.
  void learn() {
    Learned = true;
    if (Owners[2].Version == OutVersion)
      adopt(1);
    answer(1, 0, Now);
    answer(1, 2, Now);
  }

  /// Owners that have the change in force confirm it.
  void confirm() {
    for (std::size_t I = 0; I != Owners.size(); ++I)
      if (Owners[I].Version == OutVersion && Owners[I].Permission.mayVote(Now))
        Tracker.ownerConfirmed(Names[I], Owners[I].Term, OutVersion, Now, Now);
    bool Recorded = Tracker.report(Now).Phase == OutOfServicePhase::Recorded;
    if (!Recorded && AcceptedAt == TimePoint())
      AcceptedAt = Now;
  }

  StartPermission::Options Settings;
  TimePoint Now = Begin;
  std::array<OwnerModel, 3> Owners;
  OutOfServiceTracker Tracker;
  TimePoint AcceptedAt;
  TimePoint LastRead;
  TimePoint AskedAt;
  std::array<bool, 2> Answered{};
  bool Written = false;
  bool Replaced = false;
  bool Learned = false;
};

/// What a search met.
struct Search {
  std::uint64_t States = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t StartsAllowed = 0;
  std::string Counterexample;
};

void explore(const Model &From, int Depth, std::string &Path, Search &Result) {
  ++Result.States;
  Result.Accepted += From.accepted() ? 1 : 0;
  Result.StartsAllowed += From.mayStart() ? 1 : 0;
  if (From.broken())
    Result.Counterexample = Path;
  if (Depth == 0 || !Result.Counterexample.empty())
    return;
  for (int I = 0; I != static_cast<int>(Event::Count); ++I) {
    auto What = static_cast<Event>(I);
    if (!From.possible(What))
      continue;
    Model Next = From;
    Next.apply(What);
    Path.push_back(static_cast<char>('a' + I));
    explore(Next, Depth - 1, Path, Result);
    Path.pop_back();
  }
}

Search search(const StartPermission::Options &Settings, int Depth) {
  Search Result;
  std::string Path;
  explore(Model(Settings), Depth, Path, Result);
  return Result;
}

} // namespace

Test(state_interleavings, no_order_of_events_lets_work_start_after_out) {
  Search Result = search({}, 9);
  cr_assert(Result.Counterexample.empty(), "after the events %s",
            Result.Counterexample.c_str());
  cr_assert_gt(Result.Accepted, 1000U);
  cr_assert_gt(Result.StartsAllowed, 1000U);
}

Test(state_interleavings, one_vote_instead_of_a_majority_breaks_the_bound) {
  StartPermission::Options Settings;
  Settings.RequiresMajority = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}

Test(state_interleavings, votes_of_ignorant_owners_break_the_bound) {
  StartPermission::Options Settings;
  Settings.RestrictsVoting = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}

Test(state_interleavings, permission_that_never_ends_breaks_the_bound) {
  StartPermission::Options Settings;
  Settings.Expires = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}
