/// \file
/// Defines SimulatedDaemon, one daemon of a StateSimulation: the state machines
/// of the core, connected as in the real daemon.
#ifndef BANYANWORKS_TEST_SUPPORT_SIMULATEDDAEMON_H
#define BANYANWORKS_TEST_SUPPORT_SIMULATEDDAEMON_H

#include "jobs/DomainScheduler.h"
#include "state/ConfigurationPublisher.h"
#include "state/ConfigurationReplica.h"
#include "state/JobJournal.h"
#include "state/OutOfServiceTracker.h"
#include "state/Ownership.h"
#include "state/StartPermission.h"
#include "support/StoreDriver.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace banyanworks::testing {

class SimulatedDaemon;

/// The protections of a run. Tests disable one to show that the checks detect
/// the violations that it prevents.
struct SimulationProtections {
  StartPermission::Options ForPermission;
  Ownership::Options ForOwnership;
  StoreClientOptions ForStore;
  /// If true, a read counts as fresh from the time it was sent, which is unsafe
  /// because the store may answer from a stale state.
  bool TrustReads = false;
};

/// The position of a daemon in the deployment.
struct DaemonPlacement {
  std::uint32_t Index = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Domains = 0;
  std::uint32_t DaemonsPerDomain = 0;
  /// Increases with each process of any daemon.
  std::uint32_t Process = 0;
};

/// The connections of a daemon to other daemons and workers, and the callbacks
/// by which the simulation observes it.
class SimulatedNetwork {
public:
  virtual ~SimulatedNetwork() = default;

  /// Sends a message, which may be lost, duplicated or delayed.
  virtual void send(std::uint32_t Sender, std::uint32_t Receiver,
                    std::function<void(SimulatedDaemon &)> Deliver) = 0;
  virtual void sendOrder(std::uint32_t Sender, const JobAction &Order) = 0;
  /// Renews the sessions of the domain's workers and requests their
  /// inventories.
  virtual void contactWorkers(std::uint32_t Sender, Epoch Term) = 0;
  virtual std::vector<WorkerId> workersOf(std::uint32_t Domain) = 0;
  virtual std::shared_ptr<const JobSpec> specOf(JobId Job) = 0;
  virtual void onJobAccepted(JobId Job) = 0;
  virtual void onJobEnded(JobId Job, JobPhase Phase) = 0;
  virtual void onOwnershipTaken(std::uint32_t Daemon) = 0;
  /// Reports the version in force on a daemon; \p InService has a '1' for each
  /// domain that is in service and a '0' for each other.
  virtual void onVersionInForce(std::uint32_t Daemon, ConfigVersion Version,
                                const std::string &InService) = 0;
  /// Reports that a domain was accepted as out of service in \p Version.
  virtual void outOfServiceAccepted(std::uint32_t Domain,
                                    ConfigVersion Version) = 0;
};

DomainId simulatedDomainId(std::uint32_t Domain);
DaemonId simulatedDaemonId(std::uint32_t Daemon);
/// Returns the settings of all schedulers and worker sessions.
SchedulerSettings simulatedSchedulerSettings();

/// One daemon process.
class SimulatedDaemon {
public:
  SimulatedDaemon(const DaemonPlacement &Placement,
                  const SimulationProtections &Protections, FakeStore &Store,
                  SimulatedNetwork &Network);

  /// Runs the work that is due at \p Now. Without a reachable store, store
  /// operations only time out.
  void step(TimePoint Now, bool StoreReachable);

  void submit(JobId Job);
  /// Publishes a version, based on the one in force on this daemon, that
  /// changes whether a domain is in service.
  void publish(std::uint32_t Domain, bool InService);
  /// Passes an event to the scheduler if this daemon owns the domain.
  void handleJobEvent(const JobEvent &Event);
  void onWorkerContacted(const WorkerInventory &Inventory);
  void onWorkerRefused(Epoch Newest);
  bool owns() const { return Owner.owns(Now) && Scheduler != nullptr; }
  Epoch term() const { return Owner.term(); }
  const ConfigurationReplica &replica() const { return Replica; }
  const StartPermission &permission() const { return Permission; }
  TimePoint now() const { return Now; }

private:
  enum class Component : std::uint8_t {
    Owner,
    Replica,
    Journal,
    Root,
    Publisher,
  };
  struct PendingOperation {
    Component Requester = Component::Owner;
    StoreTag Tag;
  };
  /// The message that a daemon sends to others periodically.
  struct Heartbeat {
    std::uint32_t Sender = 0;
    ConfigVersion Version;
    std::optional<OwnerClaim> Claim;
    Duration ClaimAge{};
  };
  /// A publication by this daemon, and the tracker of its confirmations.
  struct PendingChange {
    ConfigurationPublisher Publisher;
    std::uint32_t Domain = 0;
    bool InService = false;
    std::optional<OutOfServiceTracker> Tracker;
    bool Reported = false;
  };

  void submitCommand(Component Requester, const StoreCommand &Command);
  void handleOutcome(const StoreOutcome &Outcome);
  void handleRootRead(const StoreOutcome &Outcome);
  void handleOwnership(const OwnershipEvent &Event);
  void handleReplica(const ReplicaEvent &Event);
  void handleJournal(const JournalEvent &Event);
  void handlePermission(const PermissionEvent &Event);
  void perform(const OwnershipAction &Action);
  void perform(const ReplicaAction &Action);
  void perform(const JournalAction &Action);
  void perform(const PermissionAction &Action);
  void handleConfiguration(const ConfigurationSnapshotPtr &Snapshot);
  void startScheduler(const JournalLoaded &Loaded);
  void sendHeartbeats();
  void handleHeartbeat(const Heartbeat &Message);
  void requestOwnerVersions();
  void confirmChange();
  void updateMembers();
  void renewSessions();
  TimePoint majorityHeardAt() const;
  std::shared_ptr<const Configuration> configuration() const;

  DaemonPlacement Placement;
  SimulationProtections Protections;
  SimulatedNetwork &Network;
  StoreDriver Driver;
  Random Rng;
  TimePoint Now;
  Ownership Owner;
  StartPermission Permission;
  ConfigurationReplica Replica;
  JobJournal Journal;
  std::unique_ptr<DomainScheduler> Scheduler;
  std::map<StoreOperationId, PendingOperation> Operations;
  std::map<std::uint32_t, TimePoint> HeardFrom;
  TimePoint ClaimHeardAt;
  TimePoint NextHeartbeat;
  TimePoint NextContact;
  TimePoint NextConfirm;
  std::map<WorkerId, TimePoint> LastContact;
  std::optional<PendingChange> CurrentChange;
  std::uint64_t Publications = 0;
};

} // namespace banyanworks::testing

#endif
