/// \file
/// Defines DomainCapacity, which combines the cells, guarantees, placement
/// policy and victim policy of one failure domain.
#ifndef BANYANWORKS_JOBS_DOMAINCAPACITY_H
#define BANYANWORKS_JOBS_DOMAINCAPACITY_H

#include "jobs/CellTree.h"
#include "jobs/GuaranteeLedger.h"
#include "jobs/JobQueue.h"
#include "jobs/Placement.h"
#include "jobs/SchedulerSettings.h"
#include "model/Configuration.h"

#include <map>
#include <unordered_map>

namespace banyanworks {

/// Resources and jobs of one workspace in the failure domain.
struct WorkspaceUsage {
  Resources InUse;
  Resources Borrowed;
  std::uint32_t RunningJobs = 0;
};

/// Places gangs and accounts for the resources that they occupy.
class DomainCapacity {
public:
  DomainCapacity(const SchedulerSettings &Settings, DomainId Domain);

  void configure(const Configuration &Config);
  /// Adds or changes a worker; returns the tasks that no longer fit on it.
  std::vector<TaskId> addWorker(const WorkerInfo &Info);
  /// Removes a worker that may return; fitsEmptyDomain() counts it until
  /// forgetWorker().
  void removeWorker(const WorkerId &Id);
  /// Forgets a removed worker that will not return.
  void forgetWorker(const WorkerId &Id);
  void clear();

  PlacementResult place(const GangRequest &Request) const;
  VictimPlan victims(const GangRequest &Request,
                     const std::vector<RunningGang> &Running,
                     TimePoint Now) const;
  /// Allocates the placements of a gang; returns true if its workspace's
  /// guarantee was charged.
  bool occupy(const JobSpec &Spec, std::uint64_t Run,
              const std::vector<MemberPlacement> &Members, bool UnderGuarantee);
  /// Protects the accelerators of a borrowing gang from reclaim until
  /// closeAccount(). Returns false without any change if the unused guarantees
  /// could then no longer be packed.
  bool pin(JobId Job, const std::vector<MemberPlacement> &Members);
  void unpin(JobId Job);
  bool isPinned(JobId Job) const { return Pins.contains(Job); }
  /// Releases the resources of one member.
  void releaseMember(const TaskId &Task);
  /// Closes the account of a gang whose members have all been released.
  void closeAccount(const JobSpec &Spec);

  /// Returns true if the gang fits when no other gang runs. The result is
  /// cached per job shape.
  bool fitsEmptyDomain(const JobSpec &Spec);

  const CellTree &cells() const { return Cells; }
  const GuaranteeLedger &ledger() const { return Ledger; }
  /// The usage of the workspace; zero if it has no running job.
  WorkspaceUsage usage(const WorkspaceId &Workspace) const;
  /// Incremented whenever capacity may have become free.
  std::uint64_t releaseVersion() const { return ReleaseVersion; }

private:
  struct Account {
    WorkspaceId Workspace;
    Resources Total;
    bool Charged = false;
  };

  /// Accelerators that are bound to a borrowing gang instead of a guarantee.
  struct Pin {
    WorkerSlot Slot = 0;
    std::uint64_t Serial = 0;
    AcceleratorMask Accelerators = 0;
  };

  void unbindPins(const std::vector<Pin> &Pinned);

  PlacementPolicy PlaceGang;
  VictimPolicy ChooseVictims;
  DomainId Domain;
  CellTree Cells;
  GuaranteeLedger Ledger;
  /// The same workers without tasks and guarantees, used by fitsEmptyDomain().
  CellTree EmptyCells;
  GuaranteeLedger NoGuarantees;
  std::map<JobShape, bool> FitsEmptyDomain;
  std::unordered_map<JobId, Account> Accounts;
  std::unordered_map<JobId, std::vector<Pin>> Pins;
  std::unordered_map<WorkspaceId, WorkspaceUsage> Usages;
  std::uint64_t ReleaseVersion = 0;
};

} // namespace banyanworks

#endif
