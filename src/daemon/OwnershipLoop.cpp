/// \file
/// Implements OwnershipLoop.
#include "daemon/OwnershipLoop.h"

#include "daemon/Context.h"
#include "daemon/StoreOperations.h"
#include "edge/Executor.h"
#include "edge/Log.h"
#include "edge/SteadyClock.h"

#include <thread>

namespace banyanworks {

namespace {

constexpr auto ShutdownStep = std::chrono::milliseconds(10);
/// Changes of owner are told in their order.
constexpr const char *TellKey = "ownership";

} // namespace

/// Carries out one action; called under the lock, so nothing here blocks.
struct OwnershipLoop::Performer {
  OwnershipLoop &Loop;

  void operator()(const StoreCommand &Ask) const {
    OwnershipLoop &Target = Loop;
    Loop.Store.submit(Ask.Request, Ask.Timeout,
                      [&Target, Tag = Ask.Tag](const StoreOutcome &Outcome) {
                        Target.handle(OwnershipStoreAnswered{Tag, Outcome});
                      });
  }
  void operator()(const OwnershipTaken &Action) const {
    logInfo("ownership_gained",
            {{"domain", Loop.Shared.Config.Domain.str()},
             {"epoch", std::to_string(Action.Term.value())},
             {"store", Action.StoreAnswers ? "answers" : "silent"}});
    Loop.Shared.Pool.run(TellKey, [&Target = Loop, Action] {
      Target.Tell.Gained(Action.Term, Action.StoreAnswers);
    });
  }
  void operator()(const OwnershipReleased &Action) const {
    logInfo("ownership_lost", {{"domain", Loop.Shared.Config.Domain.str()},
                               {"epoch", std::to_string(Action.Term.value())}});
    Loop.Shared.Pool.run(TellKey, [&Target = Loop] { Target.Tell.Lost(); });
  }
  void operator()(const AnnounceClaim &Action) const {
    Loop.Tell.Announce(Action.Claim);
  }
  void operator()(const SendHandOverOffer &Action) const {
    Loop.Tell.Offer(Action.Successor, Action.From);
  }
};

OwnershipLoop::OwnershipLoop(Context &Shared, StoreOperations &Store,
                             Listener Tell)
    : Shared(Shared), Store(Store), Tell(std::move(Tell)),
      Machine(Shared.Config.Domain, Shared.Self, Shared.Life.value()) {}

void OwnershipLoop::handle(const OwnershipEvent &Event) {
  std::lock_guard Guard(Lock);
  for (const OwnershipAction &Action : Machine.handle(Event, steadyNow()))
    std::visit(Performer{*this}, Action);
}

bool OwnershipLoop::shutDown(Duration Limit) {
  TimePoint End = steadyNow() + Limit;
  handle(OwnershipShutdown{});
  while (steadyNow() < End) {
    {
      std::lock_guard Guard(Lock);
      if (Machine.stopped())
        return true;
    }
    std::this_thread::sleep_for(ShutdownStep);
  }
  return false;
}

std::optional<OwnerClaim> OwnershipLoop::owner() const {
  std::lock_guard Guard(Lock);
  return Machine.claim();
}

bool OwnershipLoop::owns() const {
  std::lock_guard Guard(Lock);
  return Machine.owns(steadyNow());
}

} // namespace banyanworks
