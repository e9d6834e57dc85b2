/// \file
/// Defines ConfigurationSync, which runs the configuration's replica and its
/// publisher, and the permission to start that rests on them.
#ifndef BANYANWORKS_DAEMON_CONFIGURATIONSYNC_H
#define BANYANWORKS_DAEMON_CONFIGURATIONSYNC_H

#include "base/Error.h"
#include "base/Time.h"
#include "model/Configuration.h"
#include "state/ConfigurationPublisher.h"
#include "state/ConfigurationReplica.h"
#include "state/StartPermission.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace banyanworks {

class ConfigurationHolder;
class StoreOperations;
struct Context;

/// One published version as the history shows it.
struct ConfigurationSummary {
  ConfigVersion Version;
  std::string Author;
  std::string Comment;
};

/// Follows and publishes the configuration. May be used from several threads.
class ConfigurationSync {
public:
  struct Callbacks {
    /// Work may start until then.
    std::function<void(TimePoint)> PermissionChanged;
    /// Asks the owner of each failure domain for its version; each answer
    /// comes back by ownerStated().
    std::function<void()> RequestOwnerVersions;
    /// Tells the peers of this domain that a version is in force here.
    std::function<void()> Announce;
    /// Asks a peer for its version; it comes back by snapshotReceived().
    std::function<void(const DaemonId &)> PullSnapshot;
  };

  ConfigurationSync(Context &Shared, StoreOperations &Store,
                    ConfigurationHolder &Holder, Callbacks Notify);

  void tick();
  /// This daemon watches the store for its failure domain, or stops to.
  void setWatching(bool Watching);
  void handle(const ReplicaEvent &Event);
  void handle(const PermissionEvent &Event);

  /// Publishes \p Next as the successor of the version it names. Fails with
  /// VersionConflict if another version was published since, and with
  /// StoreUnavailable or OutcomeUnknown.
  Outcome<ConfigVersion> publish(Configuration Next);

  /// The version in force with its manifest, for a peer; null if there is none.
  ConfigurationSnapshotPtr snapshot() const;

  std::vector<ConfigurationSummary> history();

  /// When the permission to start ends.
  TimePoint startUntil() const;

private:
  struct ReplicaActionVisitor;
  struct PermissionActionVisitor;

  void confirmRoot();
  void install(const ConfigurationSnapshotPtr &Snapshot);
  PublishResult runPublication(Publication Change);

  Context &Shared;
  StoreOperations &Store;
  ConfigurationHolder &Holder;
  Callbacks Notify;
  mutable std::mutex Lock;
  ConfigurationReplica Replica;
  std::mutex PermissionLock;
  StartPermission Permission;
  std::atomic<TimePoint> StartUntil = TimePoint::min();
  std::atomic<std::uint64_t> WriteCount = 0;
};

} // namespace banyanworks

#endif
