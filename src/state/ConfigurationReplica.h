/// \file
/// Defines ConfigurationReplica, a daemon's copy of the configuration. It only
/// moves forward, and learns new versions from the store or from peers.
#ifndef BANYANWORKS_STATE_CONFIGURATIONREPLICA_H
#define BANYANWORKS_STATE_CONFIGURATIONREPLICA_H

#include "state/ConfigurationManifest.h"
#include "state/ConfigurationReader.h"
#include "state/StoreCommand.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace banyanworks {

/// Time passed.
struct ReplicaTick {};
/// This daemon watches the store for its failure domain, or stops to.
struct WatcherChanged {
  bool IsWatcher = false;
};
/// An operation that the replica asked for ended.
struct ReplicaStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};
/// Another part of the daemon read the root.
struct RootObserved {
  ConfigurationManifest Manifest;
};
/// A peer told which version it has in force.
struct PeerVersionReported {
  DaemonId Peer;
  ConfigVersion Version;
};
/// A peer sent a version that was pulled from it.
struct PeerSnapshotReceived {
  DaemonId Peer;
  ConfigurationSnapshotPtr Snapshot;
};
/// A peer is gone; nothing more is pulled from it.
struct PeerLeft {
  DaemonId Peer;
};

using ReplicaEvent =
    std::variant<ReplicaTick, WatcherChanged, ReplicaStoreAnswered,
                 RootObserved, PeerVersionReported, PeerSnapshotReceived,
                 PeerLeft>;

/// Asks a peer to send the version that it has in force.
struct PullConfiguration {
  DaemonId Peer;
};
/// Tells all peers of the failure domain which version is in force here.
struct AnnounceVersion {
  ConfigVersion Version;
};
/// A newer version is in force at this daemon from now on.
struct ConfigurationInForce {
  ConfigurationSnapshotPtr Snapshot;
};
/// The store lost an accepted version; publish the one in force again.
struct RestoreConfiguration {
  ConfigVersion StoreVersion;
  ConfigurationSnapshotPtr Snapshot;
};

using ReplicaAction =
    std::variant<StoreCommand, PullConfiguration, AnnounceVersion,
                 ConfigurationInForce, RestoreConfiguration>;

/// What the replica saw that it should not have, for metrics.
struct ReplicaCounters {
  std::uint64_t OlderVersionsIgnored = 0;
  std::uint64_t DamagedSnapshots = 0;
  std::uint64_t DivergentVersions = 0;
};

/// The configuration in force at one daemon.
class ConfigurationReplica {
public:
  std::vector<ReplicaAction> handle(const ReplicaEvent &Event, TimePoint Now);

  ConfigVersion version() const;
  /// The version in force; null until the first is known.
  const ConfigurationSnapshotPtr &snapshot() const { return Current; }
  const ReplicaCounters &counters() const { return Counters; }

private:
  struct Visitor;
  using Actions = std::vector<ReplicaAction>;

  void onRootObserved(const ConfigurationManifest &Root, bool FromStore,
                      Actions &Out);
  void onRootRead(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onWatchEnded(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void onChunkRead(const StoreOutcome &Outcome, TimePoint Now, Actions &Out);
  void readNextChunk(Actions &Out);
  StoreTag chunkTag() const;
  void install(const ConfigurationSnapshotPtr &Snapshot, Actions &Out);
  void advance(TimePoint Now, Actions &Out);
  void readRoot(Actions &Out);
  void pullFromPeer(TimePoint Now, Actions &Out);

  ConfigurationSnapshotPtr Current;
  std::map<DaemonId, ConfigVersion> Peers;
  bool IsWatcher = false;
  bool RootRequested = false;
  bool WatchRequested = false;
  bool InitialReadDone = false;
  StoreRevision WatchAfter;
  TimePoint NextRootRead;
  std::optional<ConfigurationReader> Reader;
  /// Grows with each reader, so that chunks of an older one are told apart.
  std::uint64_t ReaderGeneration = 0;
  std::optional<DaemonId> PullingFrom;
  TimePoint PullDeadline;
  std::uint32_t OlderRootReads = 0;
  ReplicaCounters Counters;
};

} // namespace banyanworks

#endif
