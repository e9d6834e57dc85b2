/// \file
/// Defines OwnershipLoop, which runs the ownership state machine of this
/// daemon's failure domain: store operations, claims of peers and hand-over.
#ifndef BANYANWORKS_DAEMON_OWNERSHIPLOOP_H
#define BANYANWORKS_DAEMON_OWNERSHIPLOOP_H

#include "state/Ownership.h"

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanworks {

class StoreOperations;
struct Context;

/// Runs one Ownership state machine under its own lock. May be used from
/// several threads.
class OwnershipLoop {
public:
  struct Callbacks {
    /// This daemon has become the owner in the given epoch; the flag is true if
    /// the store is available.
    std::function<void(Epoch, bool)> OwnershipGained;
    std::function<void()> OwnershipLost;
    /// Sends a claim to the daemons of the failure domain.
    std::function<void(const OwnerClaim &)> Announce;
    /// Asks a daemon to take over the failure domain.
    std::function<void(const DaemonId &, const OwnerClaim &)> OfferHandOver;
  };

  OwnershipLoop(Context &Shared, StoreOperations &Store, Callbacks Notify);

  void tick() { handle(OwnershipTick{}); }
  void handle(const OwnershipEvent &Event);

  /// Hands the failure domain over; blocks for at most \p Timeout. True if the
  /// hand-over completed or was not needed.
  bool shutDown(Duration Timeout);

  /// The latest claim that this daemon knows.
  std::optional<OwnerClaim> owner() const;
  /// True if this daemon may act as owner now.
  bool owns() const;

private:
  struct ActionVisitor;

  Context &Shared;
  StoreOperations &Store;
  Callbacks Notify;
  mutable std::mutex Lock;
  Ownership StateMachine;
};

} // namespace banyanworks

#endif
