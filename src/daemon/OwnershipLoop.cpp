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

constexpr auto ShutdownPollInterval = std::chrono::milliseconds(10);
/// The executor runs tasks with one key in order, so that notifications of
/// gained and lost ownership are not reordered.
constexpr const char *NotifyTaskKey = "ownership";

} // namespace

/// Carries out one action; called with the lock held, so that no action may
/// block.
struct OwnershipLoop::ActionVisitor {
  OwnershipLoop &Loop;

  void operator()(const StoreCommand &Command) const {
    OwnershipLoop &Target = Loop;
    Loop.Store.submit(
        Command.Request, Command.Timeout,
        [&Target, Tag = Command.Tag](const StoreOutcome &Outcome) {
          Target.handle(OwnershipStoreAnswered{Tag, Outcome});
        });
  }
  void operator()(const OwnershipTaken &Action) const {
    logInfo("ownership_gained",
            {{"domain", Loop.Shared.DaemonSettings.Domain.str()},
             {"epoch", std::to_string(Action.Term.value())},
             {"store", Action.StoreAnswers ? "answers" : "silent"}});
    Loop.Shared.ControlExecutor.run(NotifyTaskKey, [&Target = Loop, Action] {
      Target.Notify.OwnershipGained(Action.Term, Action.StoreAnswers);
    });
  }
  void operator()(const OwnershipReleased &Action) const {
    logInfo("ownership_lost",
            {{"domain", Loop.Shared.DaemonSettings.Domain.str()},
             {"epoch", std::to_string(Action.Term.value())}});
    Loop.Shared.ControlExecutor.run(
        NotifyTaskKey, [&Target = Loop] { Target.Notify.OwnershipLost(); });
  }
  void operator()(const AnnounceClaim &Action) const {
    Loop.Notify.Announce(Action.Claim);
  }
  void operator()(const SendHandOverOffer &Action) const {
    Loop.Notify.OfferHandOver(Action.Successor, Action.Claim);
  }
};

OwnershipLoop::OwnershipLoop(Context &Shared, StoreOperations &Store,
                             Callbacks Notify)
    : Shared(Shared), Store(Store), Notify(std::move(Notify)),
      StateMachine(Shared.DaemonSettings.Domain, Shared.Self,
                   Shared.SelfIncarnation.value()) {}

void OwnershipLoop::handle(const OwnershipEvent &Event) {
  std::lock_guard Guard(Lock);
  for (const OwnershipAction &Action : StateMachine.handle(Event, steadyNow()))
    std::visit(ActionVisitor{*this}, Action);
}

bool OwnershipLoop::shutDown(Duration Timeout) {
  TimePoint Deadline = steadyNow() + Timeout;
  handle(OwnershipShutdown{});
  while (steadyNow() < Deadline) {
    {
      std::lock_guard Guard(Lock);
      if (StateMachine.stopped())
        return true;
    }
    std::this_thread::sleep_for(ShutdownPollInterval);
  }
  return false;
}

std::optional<OwnerClaim> OwnershipLoop::owner() const {
  std::lock_guard Guard(Lock);
  return StateMachine.claim();
}

bool OwnershipLoop::owns() const {
  std::lock_guard Guard(Lock);
  return StateMachine.owns(steadyNow());
}

} // namespace banyanworks
