/// \file
/// Defines ConfigurationReplica, a daemon's copy of the configuration. Its
/// version never decreases; new versions come from the store or from peers.
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

/// Periodic tick.
struct ReplicaTick {};
/// This daemon starts or stops watching the store for its failure domain.
struct WatcherChanged {
  bool IsWatcher = false;
};
/// A store operation that the replica requested has completed.
struct ReplicaStoreAnswered {
  StoreTag Tag;
  StoreOutcome Outcome;
};
/// Another component of the daemon read the root.
struct RootObserved {
  ConfigurationManifest Manifest;
};
/// A peer reported the version that it has in force.
struct PeerVersionReported {
  DaemonId Peer;
  ConfigVersion Version;
};
/// A peer responded to PullConfiguration.
struct PeerSnapshotReceived {
  DaemonId Peer;
  ConfigurationSnapshotPtr Snapshot;
};
/// A peer left; nothing is pulled from it any more.
struct PeerLeft {
  DaemonId Peer;
};

using ReplicaEvent =
    std::variant<ReplicaTick, WatcherChanged, ReplicaStoreAnswered,
                 RootObserved, PeerVersionReported, PeerSnapshotReceived,
                 PeerLeft>;

/// Requests from a peer the version that it has in force.
struct PullConfiguration {
  DaemonId Peer;
};
/// Reports the version in force here to all peers of the failure domain.
struct AnnounceVersion {
  ConfigVersion Version;
};
/// A newer version is now in force at this daemon.
struct ConfigurationInForce {
  ConfigurationSnapshotPtr Snapshot;
};
/// The store lost an accepted version; requests that the version in force is
/// published again.
struct RestoreConfiguration {
  ConfigVersion StoreVersion;
  ConfigurationSnapshotPtr Snapshot;
};

using ReplicaAction =
    std::variant<StoreCommand, PullConfiguration, AnnounceVersion,
                 ConfigurationInForce, RestoreConfiguration>;

/// Counts of unexpected observations, for metrics.
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
  /// Incremented for each reader, so that outcomes of an older reader's chunks
  /// are recognised and ignored.
  std::uint64_t ReaderGeneration = 0;
  std::optional<DaemonId> PullSource;
  TimePoint PullDeadline;
  std::uint32_t OlderRootReads = 0;
  ReplicaCounters Counters;
};

} // namespace banyanworks

#endif
