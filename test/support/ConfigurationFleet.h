/// \file
/// Defines ConfigurationFleet, replicas of the configuration on several
/// daemons with one store between them, in virtual time.
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

/// Daemons of equal failure domains. The first running daemon of a domain
/// watches; peers hear of versions by announcements within the domain and by
/// a digest from one daemon of each other domain.
class ConfigurationFleet {
public:
  ConfigurationFleet(std::size_t Domains, std::size_t DaemonsPerDomain);

  /// Runs all daemons for a while.
  void advance(Duration Span);
  /// Publishes through a client of its own; returns how it ended.
  PublishResult publish(Publication Change);
  /// Publishes the version after the newest.
  PublishResult publishNext(const std::string &Payload);

  /// Replaces a daemon by one that knows nothing.
  void restart(std::size_t Daemon);
  /// Takes a daemon's way to the store away, or gives it back.
  void cutFromStore(std::size_t Daemon, bool Cut);

  std::size_t size() const { return Daemons.size(); }
  const ConfigurationReplica &replica(std::size_t Daemon) const {
    return Daemons[Daemon].Replica;
  }
  /// True if each daemon has this version in force.
  bool allInForce(ConfigVersion Version) const;
  /// Times that a daemon's version went back.
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
  void announce(std::size_t From, ConfigVersion Version);
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
