/// \file
/// Checks that the records of a job which change together are never acted on in
/// part. A watch that was listed anew across the removal of a job and a new
/// submission of it showed the old job as queued, and the owner started it.
#include "pool/JobName.h"
#include "pool/JobSpecJson.h"
#include "pool/StoreKeys.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <string>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr JobId Subject(1);

std::string recordKey(std::string_view Prefix) {
  return std::string(Prefix) + jobName(Subject);
}

OwnerLimits shortRetention() {
  OwnerLimits Limits;
  Limits.FinalJobRetention = 3s;
  return Limits;
}

bool isStored(const PoolSimulation &Simulation) {
  return !Simulation.Shared.list(recordKey(JobPrefix)).Entries.empty();
}

/// Runs and cancels a job of one task, and stops the owner's watch until after
/// the owner has removed the job.
std::unique_ptr<PoolSimulation> simulationWithUnseenRemoval() {
  auto Simulation =
      std::make_unique<PoolSimulation>(1, 2, 1, PoolLimits(), shortRetention());
  Simulation->runFor(2s);
  Simulation->submit(0, Simulation->job(Subject.value(), 1, 1, false, 30s));
  Simulation->runFor(500ms);
  Simulation->cancel(0, Subject);
  Simulation->runFor(2s);
  cr_assert_eq(Simulation->Pool.starts(), 1);
  cr_assert(isStored(*Simulation));
  StoreFaults &Faults = Simulation->daemon(*Simulation->owner()).Store.Faults;
  Faults.WatchesStalledUntil = Simulation->Clock.now() + 3s;
  Faults.StallsAllWatches = true;
  for (int Step = 0; Step < 3000 && isStored(*Simulation); ++Step)
    Simulation->runFor(1ms);
  cr_assert_not(isStored(*Simulation));
  return Simulation;
}

/// Lets the owner's watch list the records again.
void relist(PoolSimulation &Simulation) {
  Simulation.Shared.compact();
  Simulation.daemon(*Simulation.owner()).Store.Faults = StoreFaults();
  Simulation.runFor(3s);
}

} // namespace

Test(pool_relisted_jobs, refused_resubmission_does_not_start_the_removed_job) {
  auto Simulation = simulationWithUnseenRemoval();
  Simulation->Shared.put(recordKey(JobPrefix), std::string(RefusalMarker));
  relist(*Simulation);
  cr_assert_eq(Simulation->Pool.starts(), 1);
  const PoolDaemon &Owner = Simulation->daemon(*Simulation->owner());
  const JobCache::Entry *Job = Owner.KnownJobs->findJob(Subject);
  cr_assert(!Job || !Job->Spec);
}

Test(pool_relisted_jobs, accepted_resubmission_replaces_the_removed_job) {
  auto Simulation = simulationWithUnseenRemoval();
  std::size_t Other = 1 - *Simulation->owner();
  Simulation->runFor(20ms);
  auto Answer = Simulation->submit(
      Other, Simulation->job(Subject.value(), 3, 1, false, 1s));
  Simulation->runFor(50ms);
  cr_assert(*Answer == Reason::None);
  relist(*Simulation);
  // The owner removes the job again 3 s after its end.
  for (int Step = 0;
       Step < 100 && Simulation->visibleStatus(Subject) != JobStatus::Completed;
       ++Step)
    Simulation->runFor(100ms);
  cr_assert(Simulation->visibleStatus(Subject) == JobStatus::Completed);
  cr_assert_eq(Simulation->Pool.starts(), 1 + 3);
}

Test(pool_relisted_jobs, listener_never_sees_a_removal_in_part) {
  VirtualClock Clock;
  VirtualTimers Timers(Clock);
  RecordingLog Log(Clock);
  TransactionStore Shared(Clock);
  StoreSession Session(Shared, Timers, 1);
  PoolSimulation Source(1, 1, 1);
  JobCache Jobs(Session, Timers, Log, WatchTiming());
  bool Removes = false;
  unsigned Calls = 0;
  Jobs.setJobListener([&](JobId Id) {
    if (!Removes)
      return;
    ++Calls;
    const JobCache::Entry *Job = Jobs.findJob(Id);
    cr_assert(!Job || isFinal(Job->visibleStatus()));
  });
  Jobs.start();
  Transaction Creation;
  Creation.Puts = {
      {recordKey(JobPrefix),
       encodeJobSpec(Source.job(Subject.value(), 1, 1, false)), StoreLeaseId()},
      {recordKey(StatusPrefix),
       std::string(jobStatusName(JobStatus::Completed)), StoreLeaseId()}};
  Shared.apply(Creation);
  Clock.runUntil(Clock.now() + 1s);
  cr_assert(Jobs.findJob(Subject) != nullptr);
  Removes = true;
  Transaction Removal;
  Removal.Deletes = {recordKey(StatusPrefix), recordKey(JobPrefix)};
  Shared.apply(Removal);
  Clock.runUntil(Clock.now() + 2s);
  cr_assert(Calls > 0);
  cr_assert(Jobs.findJob(Subject) == nullptr);
}

// The successor still held the job, and took a new submission of its id for it.
Test(pool_relisted_jobs, removal_by_a_former_owner_arrives_after_a_takeover) {
  PoolSimulation Simulation(1, 2, 1, PoolLimits(), shortRetention());
  Simulation.runFor(2s);
  Simulation.submit(0, Simulation.job(Subject.value(), 1, 1, false, 30s));
  Simulation.runFor(500ms);
  Simulation.cancel(0, Subject);
  Simulation.runFor(2s);
  std::size_t Former = *Simulation.owner();
  StoreFaults &Faults = Simulation.daemon(Former).Store.Faults;
  Faults.LostAnswerRate = 1.0;
  Faults.LostWriteDelay = 3s;
  auto RemovalSent = [&Simulation, Former] {
    return Simulation.daemon(Former).Log.count("job.removed") > 0;
  };
  for (int Step = 0; Step < 3000 && !RemovalSent(); ++Step)
    Simulation.runFor(1ms);
  cr_assert(RemovalSent());
  Simulation.kill(Former);
  Simulation.runFor(2500ms);
  cr_assert(Simulation.owner().has_value());
  cr_assert(isStored(Simulation));
}
