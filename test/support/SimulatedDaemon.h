/// \file
/// Defines WorldDaemon, one daemon of a StateWorld: the state machines of the
/// core joined as the real daemon joins them.
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

/// What a run may leave out to show what it prevents.
struct SimulationProtections {
  StartPermission::Options ForPermission;
  Ownership::Options ForOwnership;
  StoreClientOptions ForStore;
  /// Reads count as fresh from when they were sent, although the store may
  /// answer from an old state.
  bool TrustReads = false;
};

/// The place of a daemon in the deployment.
struct DaemonPlacement {
  std::uint32_t Index = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Domains = 0;
  std::uint32_t DaemonsPerDomain = 0;
  /// Grows with each process.
  std::uint32_t Process = 0;
};

/// How daemons reach each other and the workers, and what is observed.
class SimulatedNetwork {
public:
  virtual ~SimulatedNetwork() = default;

  /// Carries a message; it may be lost, repeated or late.
  virtual void send(std::uint32_t From, std::uint32_t To,
                    std::function<void(SimulatedDaemon &)> Deliver) = 0;
  virtual void sendOrder(std::uint32_t From, const JobAction &Order) = 0;
  /// Renews the sessions of the domain's workers and asks for inventories.
  virtual void contactWorkers(std::uint32_t From, Epoch Term) = 0;
  virtual std::vector<WorkerId> workersOf(std::uint32_t Domain) = 0;
  virtual std::shared_ptr<const JobSpec> specOf(JobId Job) = 0;
  virtual void onJobAccepted(JobId Job) = 0;
  virtual void onJobEnded(JobId Job, JobPhase Phase) = 0;
  virtual void onOwnershipTaken(std::uint32_t Daemon) = 0;
  /// A version is in force; \p In has a '1' for each domain that is in.
  virtual void onVersionInForce(std::uint32_t Daemon, ConfigVersion Version,
                                const std::string &InService) = 0;
  /// The domain was taken out by that version, and that is accepted.
  virtual void outOfServiceAccepted(std::uint32_t Domain,
                                    ConfigVersion Version) = 0;
};

DomainId simulatedDomainId(std::uint32_t Domain);
DaemonId simulatedDaemonId(std::uint32_t Daemon);
/// The settings of every scheduler and worker session in the world.
SchedulerSettings simulatedSchedulerSettings();

/// One process.
class SimulatedDaemon {
public:
  SimulatedDaemon(const DaemonPlacement &Placement,
                  const SimulationProtections &Protections, FakeStore &Store,
                  SimulatedNetwork &Network);

  /// Runs what is due; without the store if \p StoreReachable is false.
  void step(TimePoint Now, bool StoreReachable);

  void submit(JobId Job);
  /// Publishes a domain in or out from the version in force here.
  void publish(std::uint32_t Domain, bool InService);
  /// Gives an event to the scheduler, if this daemon owns the domain.
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
  /// What a daemon tells others at intervals.
  struct Heartbeat {
    std::uint32_t From = 0;
    ConfigVersion Version;
    std::optional<OwnerClaim> Claim;
    Duration ClaimAge{};
  };
  /// A publication that this daemon makes and follows.
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
