/// \file
/// Defines OwnershipFleet, the daemons of one failure domain that contend for
/// its ownership, with a store, in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_OWNERSHIPFLEET_H
#define BANYANWORKS_TEST_SUPPORT_OWNERSHIPFLEET_H

#include "state/Ownership.h"
#include "support/StoreDriver.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks::testing {

/// Daemons that claim to each other every 300 ms, as heartbeats do.
class OwnershipFleet {
public:
  explicit OwnershipFleet(std::size_t Count,
                          const Ownership::Options &Settings = {});

  /// Runs all daemons for a while.
  void advance(Duration Span);
  /// Runs until some daemon other than \p Former owns; returns how long it
  /// took, or nothing if it took longer than the limit.
  std::optional<Duration> advanceUntilOwnerChange(std::size_t Former,
                                                  Duration Timeout);

  void kill(std::size_t Daemon);
  void restart(std::size_t Daemon);
  void pause(std::size_t Daemon, bool Paused);
  void cutFromStore(std::size_t Daemon, bool Cut);
  void cutFromPeers(std::size_t Daemon, bool Cut);
  void shutDown(std::size_t Daemon);
  /// A worker told every daemon that it reaches its epoch.
  void reportWorkerEpoch(std::size_t Daemon, Epoch Term);

  /// The daemons that may act as owner now.
  std::vector<std::size_t> owners() const;
  /// The owner; the count of daemons if there is none or several.
  std::size_t owner() const;
  const Ownership &stateMachine(std::size_t Daemon) const {
    return *Daemons[Daemon].StateMachine;
  }
  std::size_t size() const { return Daemons.size(); }
  /// Epochs that were taken, with the daemon.
  const std::map<Epoch, std::size_t> &taken() const { return Taken; }
  /// Times that an epoch was taken by two daemons.
  std::uint64_t sharedEpochs() const { return SharedEpochs; }

  FakeStore Store;
  TimePoint Now{std::chrono::seconds(100)};

private:
  struct Daemon {
    std::unique_ptr<StoreDriver> Driver;
    std::unique_ptr<Ownership> StateMachine;
    std::map<StoreOperationId, StoreTag> PendingOperations;
    bool Dead = false;
    bool Paused = false;
    bool CutFromStore = false;
    bool CutFromPeers = false;
  };

  DaemonId nameOf(std::size_t Index) const;
  void start(std::size_t Index);
  void step();
  void updateMembers();
  void handle(std::size_t Index, const OwnershipEvent &Event);
  void perform(std::size_t Index, const OwnershipAction &Action);
  void sendClaims();
  bool canReceive(std::size_t To, std::size_t From) const;

  Ownership::Options Settings;
  std::vector<Daemon> Daemons;
  std::uint32_t Starts = 0;
  std::uint64_t Steps = 0;
  std::map<Epoch, std::size_t> Taken;
  std::uint64_t SharedEpochs = 0;
};

} // namespace banyanworks::testing

#endif
