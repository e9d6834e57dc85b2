/// \file
/// Defines OwnershipLoop, which runs the ownership machine of this daemon's
/// failure domain: store operations, claims of peers and hand-over.
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

/// Runs one Ownership under its own lock. May be used from several threads.
class OwnershipLoop {
public:
  struct Callbacks {
    /// This daemon owns the domain; the store answers if the flag is set.
    std::function<void(Epoch, bool)> Gained;
    std::function<void()> Lost;
    /// Tells the domain's daemons of a claim.
    std::function<void(const OwnerClaim &)> Announce;
    /// Asks a daemon to take over.
    std::function<void(const DaemonId &, const OwnerClaim &)> OfferHandOver;
  };

  OwnershipLoop(Context &Shared, StoreOperations &Store, Callbacks Notify);

  void tick() { handle(OwnershipTick{}); }
  void handle(const OwnershipEvent &Event);

  /// Hands the domain over; true if nothing is left to hand over within
  /// \p Limit.
  bool shutDown(Duration Timeout);

  /// The owner as far as this daemon knows.
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
