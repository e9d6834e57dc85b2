/// \file
/// Implements the API's views.
#include "daemon/JobViewJson.h"

#include "daemon/JobPlane.h"
#include "daemon/RequestPlane.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

std::int64_t milliseconds(Duration Span) { return Span.count() / 1000; }

/// What is left until \p End; zero if it has passed.
std::int64_t millisecondsLeft(TimePoint End, TimePoint Now) {
  return End <= Now ? 0 : milliseconds(End - Now);
}

} // namespace

json showJob(const JobView &View, TimePoint Now) {
  json Out = {{"phase", View.Phase},
              {"reason", reasonInfo(View.StatusReason).Name},
              {"message", reasonInfo(View.StatusReason).Sentence},
              {"run", View.Run},
              {"restarts", View.Restarts},
              {"under_guarantee", View.UnderGuarantee},
              {"in_phase_ms", milliseconds(Now - View.PhaseSince)},
              {"kept_ms", milliseconds(View.SavedRunTime)}};
  if (View.Spec) {
    Out["id"] = View.Spec->Id;
    Out["workspace"] = View.Spec->Workspace;
    Out["service"] = View.Spec->Service;
    Out["kind"] = View.Spec->Kind;
    Out["key"] = View.Spec->Key;
    Out["members"] = View.Spec->Members;
    Out["per_member"] = View.Spec->PerMember;
    Out["priority"] = View.Spec->Urgency;
  }
  for (const GangMember &Member : View.Members)
    Out["places"].push_back({{"worker", Member.Placement.Worker},
                             {"accelerators", Member.Placement.Accelerators}});
  return Out;
}

json showExplanation(const JobExplanation &Explained, TimePoint Now) {
  json Out = showJob(Explained.Job, Now);
  Out["ahead"] = Explained.JobsAhead;
  Out["needs"] = Explained.StartCondition;
  if (Explained.ExpectedStart)
    Out["expected_start_in_ms"] =
        millisecondsLeft(*Explained.ExpectedStart, Now);
  for (const WorkerId &Worker : Explained.ReservedWorkers)
    Out["reserved_workers"].push_back(Worker);
  for (JobId Job : Explained.ReclaimedJobs)
    Out["reclaimed_jobs"].push_back(Job);
  return Out;
}

json showWorkers(const DomainSnapshot &Snapshot) {
  json Out = json::array();
  for (const WorkerView &View : Snapshot.Workers) {
    Out.push_back({{"id", View.Info.Id},
                   {"domain", View.Info.Domain},
                   {"rack", View.Info.Rack},
                   {"capacity", View.Info.Capacity},
                   {"free", View.Free},
                   {"tasks", View.Tasks},
                   {"set_aside", View.Quarantined}});
  }
  return Out;
}

json showWorkspaces(const DomainSnapshot &Snapshot) {
  json Out = json::array();
  for (const WorkspaceView &View : Snapshot.Workspaces) {
    Out.push_back({{"id", View.Id},
                   {"domain", Snapshot.Domain.Id},
                   {"guaranteed_accelerators", View.GuaranteedAccelerators},
                   {"used_accelerators", View.UsedAccelerators},
                   {"in_use", View.InUse},
                   {"borrowed", View.Borrowed},
                   {"waiting_jobs", View.WaitingJobs},
                   {"running_jobs", View.RunningJobs}});
  }
  return Out;
}

json showDomain(const DomainSnapshot &Snapshot, TimePoint Now) {
  const DomainView &View = Snapshot.Domain;
  json Out = {
      {"id", View.Id},
      {"in", View.InService},
      {"epoch", View.Term},
      {"recovering", View.Recovering},
      {"start_permission_ms", millisecondsLeft(View.StartPermittedUntil, Now)},
      {"workers", View.Workers},
      {"waiting_jobs", View.WaitingJobs},
      {"active_jobs", View.ActiveJobs},
      {"accelerators", Snapshot.Fragmentation.TotalAccelerators},
      {"free_accelerators", Snapshot.Fragmentation.FreeAccelerators}};
  for (const FragmentationView::Size &Size : Snapshot.Fragmentation.Sizes) {
    Out["fragmentation"].push_back({{"accelerators", Size.Accelerators},
                                    {"fit_now", Size.FitNow},
                                    {"fit_packed", Size.FitIfPacked}});
  }
  return Out;
}

json showEndpoints(const ServiceSnapshot &Snapshot) {
  json Out = json::array();
  for (const EndpointView &View : Snapshot.Endpoints) {
    Out.push_back({{"id", View.Endpoint},
                   {"service", Snapshot.Service},
                   {"domain", View.Domain},
                   {"address", View.Address},
                   {"slots", View.Slots},
                   {"leased", View.Leased},
                   {"in_flight", View.InFlight},
                   {"draining", View.Draining},
                   {"set_aside", View.Ejected}});
  }
  return Out;
}

} // namespace banyanworks
