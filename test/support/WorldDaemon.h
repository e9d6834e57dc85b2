/// \file
/// Defines WorldDaemon, one daemon of a StateWorld: the state machines of the
/// core joined as the real daemon joins them.
#ifndef BANYANWORKS_TEST_SUPPORT_WORLDDAEMON_H
#define BANYANWORKS_TEST_SUPPORT_WORLDDAEMON_H

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

class WorldDaemon;

/// What a run may leave out to show what it prevents.
struct WorldProtections {
  StartPermission::Options ForPermission;
  Ownership::Options ForOwnership;
  StoreClientOptions ForStore;
  /// Reads count as fresh from when they were sent, although the store may
  /// answer from an old state.
  bool TrustsReads = false;
};

/// The place of a daemon in the deployment.
struct WorldPlace {
  std::uint32_t Index = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Domains = 0;
  std::uint32_t PerDomain = 0;
  /// Grows with each process.
  std::uint32_t Process = 0;
};

/// How daemons reach each other and the workers, and what is observed.
class WorldLinks {
public:
  virtual ~WorldLinks() = default;

  /// Carries a message; it may be lost, repeated or late.
  virtual void send(std::uint32_t From, std::uint32_t To,
                    std::function<void(WorldDaemon &)> Deliver) = 0;
  virtual void order(std::uint32_t From, const JobAction &Order) = 0;
  /// Renews the sessions of the domain's workers and asks for inventories.
  virtual void contactWorkers(std::uint32_t From, Epoch Term) = 0;
  virtual std::vector<WorkerId> workersOf(std::uint32_t Domain) = 0;
  virtual std::shared_ptr<const JobSpec> specOf(JobId Job) = 0;
  virtual void jobAccepted(JobId Job) = 0;
  virtual void jobEnded(JobId Job, JobPhase Phase) = 0;
  virtual void ownershipTaken(std::uint32_t Daemon) = 0;
  /// A version is in force; \p In has a '1' for each domain that is in.
  virtual void versionInForce(std::uint32_t Daemon, ConfigVersion Version,
                              const std::string &In) = 0;
  /// The domain was taken out by that version, and that is accepted.
  virtual void outAccepted(std::uint32_t Domain, ConfigVersion Version) = 0;
};

DomainId worldDomain(std::uint32_t Domain);
DaemonId worldDaemon(std::uint32_t Daemon);
/// The settings of every scheduler and worker session in the world.
SchedulerSettings worldScheduler();

/// One process.
class WorldDaemon {
public:
  WorldDaemon(const WorldPlace &Place, const WorldProtections &Protections,
              FakeStore &Store, WorldLinks &Links);

  /// Runs what is due; without the store if \p StoreReachable is false.
  void step(TimePoint Now, bool StoreReachable);

  void submit(JobId Job);
  /// Publishes a domain in or out from the version in force here.
  void publish(std::uint32_t Domain, bool In);
  /// Gives an event to the scheduler, if this daemon owns the domain.
  void giveScheduler(const JobEvent &Event);
  void workerContacted(const WorkerInventory &Inventory);
  void workerRefused(Epoch Newest);
  bool owns() const { return Owner.owns(Now) && Scheduler != nullptr; }
  Epoch term() const { return Owner.term(); }
  const ConfigurationReplica &replica() const { return Replica; }
  const StartPermission &permission() const { return Permission; }
  TimePoint now() const { return Now; }

private:
  enum class Part : std::uint8_t {
    Owner,
    Replica,
    Journal,
    Root,
    Publisher,
  };
  struct Asked {
    Part For = Part::Owner;
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
  struct Change {
    ConfigurationPublisher Publisher;
    std::uint32_t Domain = 0;
    bool In = false;
    std::optional<OutOfServiceTracker> Tracker;
    bool Told = false;
  };

  void ask(Part For, const StoreCommand &Ask);
  void outcome(const StoreOutcome &Outcome);
  void rootRead(const StoreOutcome &Outcome);
  void owner(const OwnershipEvent &Event);
  void replicaEvent(const ReplicaEvent &Event);
  void journal(const JournalEvent &Event);
  void permit(const PermissionEvent &Event);
  void perform(const OwnershipAction &Action);
  void perform(const ReplicaAction &Action);
  void perform(const JournalAction &Action);
  void perform(const PermissionAction &Action);
  void inForce(const ConfigurationSnapshotPtr &Snapshot);
  void gainRecords(const JournalLoaded &Loaded);
  void sendHeartbeats();
  void heard(const Heartbeat &Beat);
  void askOwners();
  void confirmChange();
  void updateMembers();
  void sessions();
  TimePoint heardDomainAt() const;
  std::shared_ptr<const Configuration> configuration() const;

  WorldPlace Place;
  WorldProtections Protections;
  WorldLinks &Links;
  StoreDriver Driver;
  Random Dice;
  TimePoint Now;
  Ownership Owner;
  StartPermission Permission;
  ConfigurationReplica Replica;
  JobJournal Journal;
  std::unique_ptr<DomainScheduler> Scheduler;
  std::map<StoreOperationId, Asked> Operations;
  std::map<std::uint32_t, TimePoint> HeardFrom;
  TimePoint ClaimHeardAt;
  TimePoint NextBeat;
  TimePoint NextContact;
  TimePoint NextConfirm;
  std::map<WorkerId, TimePoint> Contacts;
  std::optional<Change> Changing;
  std::uint64_t Publications = 0;
};

} // namespace banyanworks::testing

#endif
