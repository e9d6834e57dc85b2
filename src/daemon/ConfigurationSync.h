/// \file
/// Defines ConfigurationSync, which runs the configuration replica and
/// publisher, and the start permission that depends on the replicated version.
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

/// One published version in the configuration history.
struct ConfigurationSummary {
  ConfigVersion Version;
  std::string Author;
  std::string Comment;
};

/// Replicates and publishes the configuration. May be used from several
/// threads.
class ConfigurationSync {
public:
  struct Callbacks {
    /// Called with the new end of the permission to start work.
    std::function<void(TimePoint)> PermissionChanged;
    /// Asks the owner of each failure domain for its version; each response is
    /// passed to handle() as OwnerVersionReported.
    std::function<void()> RequestOwnerVersions;
    /// Announces to all peers that a new version is in force on this daemon.
    std::function<void()> Announce;
    /// Requests a peer's configuration; the response is passed to handle() as
    /// PeerSnapshotReceived.
    std::function<void(const DaemonId &)> PullSnapshot;
  };

  ConfigurationSync(Context &Shared, StoreOperations &Store,
                    ConfigurationHolder &Holder, Callbacks Notify);

  void tick();
  /// Starts or stops watching the store on behalf of this failure domain.
  void setWatching(bool Watching);
  void handle(const ReplicaEvent &Event);
  void handle(const PermissionEvent &Event);

  /// Publishes \p Next as the successor of Next.Version; blocks. Fails with
  /// VersionConflict if another version was published since, with
  /// StoreUnavailable if nothing was written, and with OutcomeUnknown if the
  /// store did not confirm the write.
  Outcome<ConfigVersion> publish(Configuration Next);

  /// The replicated configuration with its manifest, to be sent to a peer; null
  /// if there is none.
  ConfigurationSnapshotPtr snapshot() const;

  std::vector<ConfigurationSummary> history();

  /// The end of the permission to start work.
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
