/// \file
/// Defines OwnershipFleet, a simulation of the daemons of one failure domain
/// that compete for its ownership in a store, in virtual time.
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

/// Daemons of one failure domain; owners send their claim to the others every
/// 300 ms, as with heartbeats.
class OwnershipFleet {
public:
  explicit OwnershipFleet(std::size_t Count,
                          const Ownership::Options &Settings = {});

  /// Runs all daemons for the given duration.
  void advance(Duration Span);
  /// Runs until a daemon other than \p Former is the owner; returns the elapsed
  /// time, or nullopt on time-out.
  std::optional<Duration> advanceUntilOwnerChange(std::size_t Former,
                                                  Duration Timeout);

  void kill(std::size_t Daemon);
  void restart(std::size_t Daemon);
  void pause(std::size_t Daemon, bool Paused);
  void cutFromStore(std::size_t Daemon, bool Cut);
  void cutFromPeers(std::size_t Daemon, bool Cut);
  void shutDown(std::size_t Daemon);
  /// Reports to a daemon that a worker follows the epoch \p Term.
  void reportWorkerEpoch(std::size_t Daemon, Epoch Term);

  /// Returns the daemons that may currently act as owner.
  std::vector<std::size_t> owners() const;
  /// Returns the owner, or size() if there is none or more than one.
  std::size_t owner() const;
  const Ownership &stateMachine(std::size_t Daemon) const {
    return *Daemons[Daemon].StateMachine;
  }
  std::size_t size() const { return Daemons.size(); }
  /// Returns the epochs in which ownership was acquired, with the first daemon
  /// that acquired it.
  const std::map<Epoch, std::size_t> &ownersByEpoch() const {
    return OwnersByEpoch;
  }
  /// How often a second daemon acquired ownership in the same epoch.
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
  bool canReceive(std::size_t ReceiverIndex, std::size_t SenderIndex) const;

  Ownership::Options Settings;
  std::vector<Daemon> Daemons;
  std::uint32_t Starts = 0;
  std::uint64_t Steps = 0;
  std::map<Epoch, std::size_t> OwnersByEpoch;
  std::uint64_t SharedEpochs = 0;
};

} // namespace banyanworks::testing

#endif
