/// \file
/// Defines JobPlane, the shard of one failure domain: its scheduler under one
/// lock, the workers' sessions, and the calls that the scheduler's actions
/// lead to.
#ifndef BANYANWORKS_DAEMON_JOBPLANE_H
#define BANYANWORKS_DAEMON_JOBPLANE_H

#include "base/Error.h"
#include "daemon/WorkerDirectory.h"
#include "edge/WorkerMessages.h"
#include "jobs/DomainScheduler.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace banyanworks {

class WorkerAdapter;
struct Context;

/// Everything of a failure domain that operators may look at.
struct DomainSnapshot {
  DomainView Domain;
  std::vector<JobView> Jobs;
  std::vector<WorkerView> Workers;
  std::vector<WorkspaceView> Workspaces;
  FragmentationView Fragmentation;
};

/// Runs the scheduler of this daemon's failure domain. May be used from
/// several threads.
class JobPlane {
public:
  /// \p OnStepDown is called when a worker holds to a newer epoch.
  JobPlane(Context &Shared, WorkerAdapter &Workers,
           std::function<void(Epoch)> OnStepDown);

  void configurationChanged(const std::shared_ptr<const Configuration> &Next);
  void permissionRenewed(TimePoint StartUntil);
  /// Loads the records, if the store answers, and asks the known workers for
  /// their inventories.
  void gainOwnership(Epoch Term, bool StoreAvailable);
  void loseOwnership();

  /// Takes a worker's report, if this daemon owns the domain. OwnerAddress of
  /// the answer is left to the caller.
  ReportAnswer report(const WorkerReport &Report);

  /// Records a job and hands it to the scheduler. A repeated submission gives
  /// the job that is known already.
  Outcome<JobView> submit(const JobSpec &Spec);
  /// Cancels a job; false if it is not known here.
  bool cancel(JobId Id);
  std::optional<JobView> job(JobId Id) const;
  std::optional<JobExplanation> explain(JobId Id) const;
  DomainSnapshot snapshot() const;
  bool owns() const;

  /// Lets the scheduler look at its deadlines and ends lapsed sessions.
  void tick();

private:
  struct ActionVisitor;

  void post(const JobEvent &Event);
  void perform(const std::vector<JobAction> &Actions);
  void sendOrder(const WorkerOrder &Order, const WorkerId &Worker);
  void handleOrderResult(const WorkerOrder &Order, OrderResult Result);
  void recordOutcome(const JobProgressed &Action);
  void pullInventory(const WorkerId &Worker, const std::string &Address);
  std::vector<std::shared_ptr<const JobSpec>> loadJobs(bool &Complete);

  Context &Shared;
  WorkerAdapter &Workers;
  std::function<void(Epoch)> OnStepDown;
  mutable std::mutex Lock;
  DomainScheduler Scheduler;
  WorkerDirectory Directory;
};

} // namespace banyanworks

#endif
