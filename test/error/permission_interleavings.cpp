/// \file
/// Exhaustive search over the orders of a small set of events with three
/// owners: no work may start later than MaxStartDelayAfterOut after an
/// out-of-service change was accepted.
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

/// The possible events. Domain d is taken out of service, and its owner never
/// gets the new version itself; the owner of e may be replaced by one without
/// any state.
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

/// The model of a daemon that owns a domain.
struct OwnerModel {
  StartPermission Permission;
  ConfigVersion Version;
  Epoch Term{1};
};

/// A state of the search; copied at each branch.
class Model {
public:
  explicit Model(const StartPermission::Options &Settings)
      : Settings(Settings), Owners{startOwner(0), startOwner(1), startOwner(2)},
        Tracker(OutVersion, All, {}) {
    Now = Begin;
    for (OwnerModel &Owner : Owners)
      Owner.Permission.handle(RootConfirmed{InVersion, Now}, Now);
    wait(2s);
  }

  /// True if the event can occur and changes the state.
  bool isPossible(Event NextEvent) const {
    switch (NextEvent) {
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
      return AskedAt != TimePoint() && !Answered[NextEvent == Event::AnswerF];
    case Event::ReplaceE:
      return !Replaced;
    case Event::LearnAtE:
      return Replaced && !Learned;
    default:
      return true;
    }
  }

  void apply(Event NextEvent) {
    switch (NextEvent) {
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
      deliver(0, RootConfirmed{Written ? OutVersion : InVersion, Now});
      break;
    case Event::Ask:
      AskedAt = Now;
      Answered = {};
      break;
    case Event::AnswerE:
      deliverAnswer(0, 1, AskedAt);
      Answered[0] = true;
      break;
    case Event::AnswerF:
      deliverAnswer(0, 2, AskedAt);
      Answered[1] = true;
      break;
    case Event::ReplaceE:
      Replaced = true;
      Owners[1] = startOwner(1);
      Owners[1].Term = Epoch(2);
      break;
    case Event::LearnAtE:
      learnFromOthers();
      break;
    case Event::Count:
      break;
    }
    confirm();
  }

  /// True if domain d may start work after the bound.
  bool violatesBound() const {
    return AcceptedAt != TimePoint() &&
           Now > AcceptedAt + MaxStartDelayAfterOut &&
           Owners[0].Permission.mayStart(Now);
  }
  bool accepted() const { return AcceptedAt != TimePoint(); }
  bool mayStart() const { return Owners[0].Permission.mayStart(Now); }

private:
  OwnerModel startOwner(std::size_t Index) const {
    OwnerModel Started{StartPermission(Names[Index], Settings), InVersion,
                       Epoch(1)};
    Started.Permission.handle(PermissionConfiguration{InVersion, true, All},
                              Now);
    Started.Permission.handle(PermissionOwnershipGained{}, Now);
    return Started;
  }

  void deliver(std::size_t Receiver, const PermissionEvent &NextEvent) {
    Owners[Receiver].Permission.handle(NextEvent, Now);
  }

  void wait(Duration Span) {
    Now += Span;
    for (std::size_t I = 0; I != Owners.size(); ++I)
      deliver(I, PermissionOwnershipStatus{false, Now});
    confirm();
  }

  void adopt(std::size_t Index) {
    Owners[Index].Version = OutVersion;
    deliver(Index, PermissionConfiguration{OutVersion, true, All});
  }

  void deliverAnswer(std::size_t Receiver, std::size_t Sender,
                     TimePoint QueryTime) {
    if (Owners[Sender].Permission.mayVote(Now))
      deliver(Receiver, OwnerVersionReported{
                            Names[Sender], Owners[Sender].Version, QueryTime});
  }

  /// The new owner of e queries the other owners and adopts their version.
  void learnFromOthers() {
    Learned = true;
    if (Owners[2].Version == OutVersion)
      adopt(1);
    deliverAnswer(1, 0, Now);
    deliverAnswer(1, 2, Now);
  }

  /// All owners that have the change in force and may vote confirm it.
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

/// The statistics and the result of a search.
struct Search {
  std::uint64_t States = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t StartsAllowed = 0;
  std::string Counterexample;
};

void explore(const Model &Current, int Depth, std::string &Path,
             Search &Result) {
  ++Result.States;
  Result.Accepted += Current.accepted() ? 1 : 0;
  Result.StartsAllowed += Current.mayStart() ? 1 : 0;
  if (Current.violatesBound())
    Result.Counterexample = Path;
  if (Depth == 0 || !Result.Counterexample.empty())
    return;
  for (int I = 0; I != static_cast<int>(Event::Count); ++I) {
    auto NextEvent = static_cast<Event>(I);
    if (!Current.isPossible(NextEvent))
      continue;
    Model Next = Current;
    Next.apply(NextEvent);
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

Test(state_interleavings, no_event_order_starts_work_after_the_bound) {
  Search Result = search({}, 9);
  cr_assert(Result.Counterexample.empty(),
            "work may start after the bound; events: %s",
            Result.Counterexample.c_str());
  cr_assert_gt(Result.Accepted, 1000U);
  cr_assert_gt(Result.StartsAllowed, 1000U);
}

Test(state_interleavings, one_vote_instead_of_a_majority_breaks_the_bound) {
  StartPermission::Options Settings;
  Settings.RequiresMajority = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}

Test(state_interleavings, unrestricted_votes_break_the_bound) {
  StartPermission::Options Settings;
  Settings.RestrictsVoting = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}

Test(state_interleavings, permission_without_expiry_breaks_the_bound) {
  StartPermission::Options Settings;
  Settings.Expires = false;
  cr_assert_not(search(Settings, 9).Counterexample.empty());
}
