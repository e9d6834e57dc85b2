/// \file
/// Defines DomainSpace, the capacity of one failure domain as the scheduler
/// uses it: cells, guarantees and the policies of placement and victims.
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

/// What one workspace uses in the failure domain.
struct WorkspaceUsage {
  Resources InUse;
  Resources Borrowed;
  std::uint32_t RunningJobs = 0;
};

/// Places gangs and keeps account of what they occupy.
class DomainCapacity {
public:
  DomainCapacity(const SchedulerSettings &Settings, DomainId Domain);

  void configure(const Configuration &Config);
  /// Adds or changes a worker; returns tasks that no longer fit there.
  std::vector<TaskId> addWorker(const WorkerInfo &Info);
  /// The worker is gone for now; the shapes that it could hold stay possible
  /// until it is forgotten.
  void removeWorker(const WorkerId &Id);
  /// The worker will not come back.
  void forgetWorker(const WorkerId &Id);
  void clear();

  PlacementResult place(const GangRequest &Request) const;
  VictimPlan victims(const GangRequest &Request,
                     const std::vector<RunningGang> &Running,
                     TimePoint Now) const;
  /// Occupies the places of a gang; returns whether its workspace's guarantee
  /// was charged.
  bool occupy(const JobSpec &Spec, std::uint64_t Run,
              const std::vector<MemberPlacement> &Members, bool UnderGuarantee);
  /// Keeps the accelerators of a loan from being reclaimed, as long as the
  /// gang is not closed. False, and nothing changes, if some unused guarantee
  /// could then not be carved.
  bool pin(JobId Job, const std::vector<MemberPlacement> &Members);
  void unpin(JobId Job);
  bool isPinned(JobId Job) const { return Pins.contains(Job); }
  /// Frees one member's place.
  void releaseMember(const TaskId &Task);
  /// Ends the account of a gang whose members have all been vacated.
  void closeAccount(const JobSpec &Spec);

  /// True if the gang would fit, were nothing else running.
  bool fitsEmptyDomain(const JobSpec &Spec);

  const CellTree &cells() const { return Cells; }
  const GuaranteeLedger &ledger() const { return Ledger; }
  /// What the workspace uses; zero if it uses nothing.
  WorkspaceUsage usage(const WorkspaceId &Workspace) const;
  /// Grows whenever capacity may have become free.
  std::uint64_t releaseVersion() const { return ReleaseVersion; }

private:
  struct Account {
    WorkspaceId Workspace;
    Resources Total;
    bool Charged = false;
  };

  /// Accelerators that are bound although no guarantee uses them.
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
  /// The same workers without tasks and guarantees, to tell what never fits.
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
