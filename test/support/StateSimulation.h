/// \file
/// Defines StateSimulation, which simulates a small deployment of daemons,
/// workers and one store under random faults in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_STATESIMULATION_H
#define BANYANWORKS_TEST_SUPPORT_STATESIMULATION_H

#include "support/FakeWorker.h"
#include "support/SimulatedDaemon.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace banyanworks::testing {

/// The size of the simulated deployment, its faults and its protections.
struct SimulationSettings {
  std::uint32_t Domains = 3;
  std::uint32_t DaemonsPerDomain = 2;
  std::uint32_t WorkersPerDomain = 2;
  /// The period in which faults are injected; then all faults are cleared.
  Duration FaultDuration = std::chrono::seconds(40);
  /// Jobs that have not ended this long after all faults were cleared count as
  /// lost. The period is long because workers with repeated failures return to
  /// service only gradually.
  Duration RecoveryDuration = std::chrono::minutes(20);
  double LossProbability = 0.03;
  double DuplicationProbability = 0.03;
  Duration MaxDelay = std::chrono::milliseconds(60);
  SimulationProtections Protections;
};

/// How often each safety property was violated.
struct SimulationViolations {
  std::uint64_t AcceleratorsGrantedTwice = 0;
  std::uint64_t PartialGangs = 0;
  std::uint64_t StartsOutOfService = 0;
  std::uint64_t VersionReversions = 0;
  std::uint64_t JobsLost = 0;
  std::uint64_t JobsRunTwice = 0;

  std::uint64_t total() const;
  SimulationViolations &operator+=(const SimulationViolations &Other);
};

/// Event counts of a run, to verify that it exercised the system.
struct SimulationCounts {
  std::uint64_t JobsAccepted = 0;
  std::uint64_t JobsCompleted = 0;
  std::uint64_t TasksStarted = 0;
  std::uint64_t OutOfServiceAccepted = 0;
  std::uint64_t OwnershipsTaken = 0;
  std::uint64_t FaultsInjected = 0;

  SimulationCounts &operator+=(const SimulationCounts &Other);
};

/// One simulated run; a seed determines its faults and load.
class StateSimulation : private SimulatedNetwork {
public:
  StateSimulation(const SimulationSettings &Settings, std::uint64_t Seed);
  ~StateSimulation() override;
  StateSimulation(const StateSimulation &) = delete;
  StateSimulation &operator=(const StateSimulation &) = delete;

  /// Runs the complete scenario: a phase with faults and load, then recovery
  /// without faults, then the final checks.
  void run();
  /// Runs without adding load or faults.
  void advance(Duration Span);

  JobId submit(std::uint32_t Domain, std::uint32_t Members);
  /// Publishes through the daemon \p Publisher whether a domain is in service.
  void setInService(std::uint32_t Publisher, std::uint32_t Domain,
                    bool InService);
  void pauseDaemon(std::uint32_t Daemon, Duration Span);
  void killDaemon(std::uint32_t Daemon, Duration Span);
  /// Cuts the link between two daemons, in both directions.
  void cutDaemons(std::uint32_t Left, std::uint32_t Right, Duration Span);
  void cutDomains(std::uint32_t Left, std::uint32_t Right, Duration Span);
  void cutDomainFromStore(std::uint32_t Domain, Duration Span);
  void cutWorker(std::uint32_t Domain, std::uint32_t Worker, Duration Span);

  const SimulationViolations &violations() const { return Violations; }
  const SimulationCounts &counts() const { return Counts; }
  std::uint64_t startsIn(std::uint32_t Domain) const {
    return StartsIn[Domain];
  }
  /// Returns the daemon that owns a domain, or the number of daemons if there
  /// is none.
  std::uint32_t ownerOf(std::uint32_t Domain) const;
  bool outOfServiceAccepted(std::uint32_t Domain) const {
    return OutOfServiceDomains.contains(Domain);
  }
  FakeStore &store() { return Store; }
  TimePoint now() const { return Now; }

private:
  struct Host {
    explicit Host(test::FakeWorker Worker) : Worker(std::move(Worker)) {}
    test::FakeWorker Worker;
    TimePoint CutUntil;
    /// The daemon that last renewed the worker's session.
    std::uint32_t Owner = 0;
  };
  struct Message {
    std::uint32_t Receiver = 0;
    std::function<void(SimulatedDaemon &)> Deliver;
  };
  struct Process {
    std::unique_ptr<SimulatedDaemon> Daemon;
    TimePoint PausedUntil;
    TimePoint DeadUntil;
    bool Dead = false;
    ConfigVersion HighestVersion;
  };

  void send(std::uint32_t Sender, std::uint32_t Receiver,
            std::function<void(SimulatedDaemon &)> Deliver) override;
  void sendOrder(std::uint32_t Sender, const JobAction &Order) override;
  void contactWorkers(std::uint32_t Sender, Epoch Term) override;
  std::vector<WorkerId> workersOf(std::uint32_t Domain) override;
  std::shared_ptr<const JobSpec> specOf(JobId Job) override;
  void onJobAccepted(JobId Job) override;
  void onJobEnded(JobId Job, JobPhase Phase) override;
  void onOwnershipTaken(std::uint32_t Daemon) override;
  void onVersionInForce(std::uint32_t Daemon, ConfigVersion Version,
                        const std::string &InService) override;
  void outOfServiceAccepted(std::uint32_t Domain,
                            ConfigVersion Version) override;

  void step();
  void deliver();
  void startDaemon(std::uint32_t Index);
  void addFault();
  void addStoreFault();
  void addLoad();
  void recover();
  void stepWorkers();
  void checkWorkers();
  /// Returns the number of accepted jobs that have neither completed nor ended.
  std::uint64_t countUnfinished() const;
  template <typename Answer, typename Order, typename Method>
  void sendOrderTo(std::uint32_t Sender, const Order &Command,
                   Method WorkerMethod);
  Host &hostOf(const WorkerId &Id);
  void recordStart(std::uint32_t Domain);
  void recordSuccess(const TaskId &Task);
  std::uint32_t daemons() const {
    return Settings.Domains * Settings.DaemonsPerDomain;
  }
  std::uint32_t domainOf(std::uint32_t Daemon) const {
    return Daemon / Settings.DaemonsPerDomain;
  }
  Duration randomDuration(std::uint32_t MaxMilliseconds);

  SimulationSettings Settings;
  Random Rng;
  FakeStore Store;
  TimePoint Now{std::chrono::seconds(100)};
  std::uint32_t Starts = 0;
  std::vector<Process> Processes;
  std::vector<TimePoint> StoreCutUntil;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> LinkCutUntil;
  std::vector<Host> Hosts;
  std::multimap<TimePoint, Message> InFlight;
  std::map<JobId, std::shared_ptr<const JobSpec>> Specs;
  std::set<JobId> Accepted;
  std::set<JobId> Ended;
  std::map<std::pair<JobId, std::uint64_t>, std::set<std::uint32_t>> Succeeded;
  std::map<JobId, std::uint64_t> Completions;
  std::map<std::pair<JobId, std::uint64_t>, TimePoint> PartialSince;
  std::set<JobId> ReportedJobs;
  /// The accepted request to take a domain out of service; it holds until a
  /// newer version returns the domain to service.
  struct OutOfServiceRecord {
    ConfigVersion Version;
    TimePoint AcceptedAt;
  };
  std::map<std::uint32_t, OutOfServiceRecord> OutOfServiceDomains;
  /// For each domain, the newest version in force on any daemon in which the
  /// domain is in service.
  std::vector<ConfigVersion> NewestInServiceVersion;
  std::vector<std::uint64_t> StartsIn;
  std::uint64_t NextJob = 1;
  SimulationViolations Violations;
  SimulationCounts Counts;
};

} // namespace banyanworks::testing

#endif
