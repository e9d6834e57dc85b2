/// \file
/// Defines ConfigurationFleet, a simulation of the configuration replicas of
/// several daemons that share one store, in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_CONFIGURATIONFLEET_H
#define BANYANWORKS_TEST_SUPPORT_CONFIGURATIONFLEET_H

#include "state/ConfigurationPublisher.h"
#include "state/ConfigurationReplica.h"
#include "support/StoreDriver.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Daemons of failure domains of equal size. The first daemon of each domain
/// watches the store. All daemons also learn of versions from announcements
/// within their domain and, every 500 ms, from the digest of another daemon.
class ConfigurationFleet {
public:
  ConfigurationFleet(std::size_t Domains, std::size_t DaemonsPerDomain);

  /// Runs all daemons for the given duration.
  void advance(Duration Span);
  /// Publishes through a separate store client; returns the result.
  PublishResult publish(Publication Change);
  /// Publishes \p Payload as the successor of the newest version in the store.
  PublishResult publishNext(const std::string &Payload);

  /// Replaces a daemon by a new process without state.
  void restart(std::size_t Daemon);
  /// Cuts or restores a daemon's connection to the store.
  void cutFromStore(std::size_t Daemon, bool Cut);

  std::size_t size() const { return Daemons.size(); }
  const ConfigurationReplica &replica(std::size_t Daemon) const {
    return Daemons[Daemon].Replica;
  }
  /// Returns true if \p Version is in force on every daemon.
  bool allInForce(ConfigVersion Version) const;
  /// How often a daemon's version decreased.
  std::uint64_t reversions() const { return Reversions; }

  FakeStore Store;
  TimePoint Now{std::chrono::seconds(100)};

private:
  struct Daemon {
    std::unique_ptr<StoreDriver> Driver;
    ConfigurationReplica Replica;
    std::map<StoreOperationId, StoreTag> PendingOperations;
    bool IsWatcher = false;
    bool CutFromStore = false;
    ConfigVersion HighestVersion;
  };

  DaemonId nameOf(std::size_t Index) const;
  void start(std::size_t Index);
  void step();
  void stepStore(std::size_t Index);
  void handle(std::size_t Index, const ReplicaEvent &Event);
  void perform(std::size_t Index, const ReplicaAction &Action);
  void announce(std::size_t Sender, ConfigVersion Version);
  void exchangeDigests();

  std::size_t PerDomain;
  std::vector<Daemon> Daemons;
  std::uint32_t Publications = 0;
  std::uint32_t Starts = 0;
  std::uint64_t Steps = 0;
  std::uint64_t Reversions = 0;
};

} // namespace banyanworks::testing

#endif
