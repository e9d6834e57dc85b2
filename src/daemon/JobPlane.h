/// \file
/// Defines JobPlane, which runs the scheduler of one failure domain: the
/// scheduler's lock, the worker sessions, and the calls to workers and the
/// store that carry out the scheduler's actions.
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

/// The state of a failure domain as shown to operators.
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
  /// \p OnStepDown is called with the epoch when a worker knows a newer one;
  /// the lock is held during the call.
  JobPlane(Context &Shared, WorkerAdapter &Workers,
           std::function<void(Epoch)> OnStepDown);

  void configurationChanged(
      const std::shared_ptr<const Configuration> &NewConfiguration);
  void permissionRenewed(TimePoint StartUntil);
  /// Loads the job records, if the store is available, and requests the
  /// inventories of the known workers.
  void gainOwnership(Epoch Term, bool StoreAvailable);
  void loseOwnership();

  /// Renews a worker's session and, if this daemon owns the domain, processes
  /// the report. The caller sets OwnerAddress of the answer.
  ReportAnswer report(const WorkerReport &Report);

  /// Records a job in the store and submits it to the scheduler; blocks. A
  /// repeated submission returns the existing job. Fails with NotOwner, with
  /// KeyReused if the id belongs to a different job, and with OutcomeUnknown if
  /// the store did not confirm the record.
  Outcome<JobView> submit(const JobSpec &Spec);
  /// Cancels a job; false if the scheduler does not know the job.
  bool cancel(JobId Id);
  std::optional<JobView> job(JobId Id) const;
  std::optional<JobExplanation> explain(JobId Id) const;
  DomainSnapshot snapshot() const;
  bool owns() const;

  /// Processes the scheduler's deadlines and removes workers whose sessions
  /// expired.
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
