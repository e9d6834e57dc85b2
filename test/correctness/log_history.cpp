/// \file
/// Checks that the logs of the daemons alone show why a job was refused, failed
/// or was delayed.
#include "edge/LogHistory.h"
#include "support/PoolSimulation.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

/// The history of a job from the logs of all simulated daemons.
std::string explain(PoolSimulation &Simulation, const std::string &Id) {
  LogHistory History(Id);
  for (std::size_t Number = 0; Number < Simulation.daemonCount(); ++Number) {
    std::stringstream Log;
    for (const std::string &Line : Simulation.daemon(Number).Log.lines()) {
      std::size_t Space = Line.find(' ');
      Log << "ts_ms="
          << static_cast<long>(std::stod(Line.substr(0, Space)) * 1000)
          << " event=" << Line.substr(Space + 1) << '\n';
    }
    History.read(Log, "daemon" + std::to_string(Number));
  }
  std::ostringstream Out;
  cr_assert(History.write(Out));
  return Out.str();
}

bool contains(const std::string &History, const std::string &Text) {
  return History.find(Text) != std::string::npos;
}

} // namespace

Test(log_history, refusal_names_the_store) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  Simulation.daemon(1).Store.Faults.RefusesCalls = true;
  auto Answer = Simulation.submit(1, Simulation.job(0x11, 1, 1, false));
  Simulation.runFor(1s);
  cr_assert(*Answer == Reason::StoreUnavailable);
  std::string History = explain(Simulation, "0000000000000011");
  cr_assert(contains(History, "event=record.create"));
  cr_assert(contains(History, "outcome=store_unavailable"));
}

Test(log_history, failed_job_names_its_workers_and_attempts) {
  PoolSimulation Simulation(1, 2, 1);
  Simulation.runFor(2s);
  pool::JobSpec Spec = Simulation.job(0x12, 1, 1, false, 100ms);
  Spec.Program = "fails";
  Simulation.submit(0, Spec);
  Simulation.runFor(5s);
  std::string History = explain(Simulation, "0000000000000012");
  cr_assert(contains(History, "how=failed"));
  cr_assert(contains(History, "run=3 worker="));
  cr_assert(contains(History, "event=job.final job=0000000000000012 "
                              "status=failed"));
}

Test(log_history, takeover_shows_in_the_history_of_a_job_it_delayed) {
  PoolSimulation Simulation(1, 3, 1);
  Simulation.runFor(2s);
  std::size_t First = *Simulation.owner();
  Simulation.submit((First + 1) % 3, Simulation.job(0x13, 1, 1, false, 3s));
  Simulation.runFor(1s);
  Simulation.kill(First);
  Simulation.runFor(8s);
  cr_assert(Simulation.visibleStatus(JobId(0x13)) ==
            pool::JobStatus::Completed);
  std::string History = explain(Simulation, "0000000000000013");
  cr_assert(contains(History, "event=owner.acquired"));
  cr_assert(contains(History, "ms without a line"));
}
