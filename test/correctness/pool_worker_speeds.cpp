/// \file
/// Speeds of workers are learned from the progress of their tasks. Guards
/// against classes that are decided by the lengths of single tasks.
#include "pool/WorkerSpeeds.h"

#include "support/TaskLengths.h"

#include <criterion/criterion.h>

#include <map>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Workers = 48;
constexpr std::uint32_t TasksPerStep = 39;

/// Steps of single tasks on a pool of which every fourth worker has the given
/// speed. Three in a hundred tasks are seven times as long as others.
struct SampledPool {
  WorkerSpeeds Speeds;
  TimePoint Now{100s};
  Random Generator;
  std::uint64_t NextStep = 1;

  explicit SampledPool(std::uint64_t Seed) : Generator(Seed) {}

  static WorkerId worker(std::uint32_t Number) {
    return WorkerId("w" + std::to_string(Number));
  }
  static bool isFast(std::uint32_t Number) { return Number % 4 == 0; }

  /// Runs steps until the workers have \p Samples each on average.
  void run(std::uint32_t Samples, double FastSpeed) {
    std::uint32_t Steps = (Samples * Workers + TasksPerStep - 1) / TasksPerStep;
    for (std::uint32_t Step = 0; Step < Steps; ++Step, ++NextStep) {
      for (std::uint32_t Task = 0; Task < TasksPerStep; ++Task) {
        std::uint32_t Number = Generator.below(Workers);
        double Rate = 12.0 / lengthFactor(Generator);
        if (Generator.withProbability(0.03))
          Rate /= 7.0;
        Speeds.addRate({JobId(NextStep), 0, 0}, worker(Number),
                       Rate * (isFast(Number) ? FastSpeed : 1.0), Now);
      }
      Now += 3s;
      Speeds.refresh(Now);
    }
  }

  std::uint32_t count(SpeedClass Class, bool OfFast) const {
    std::uint32_t Count = 0;
    for (std::uint32_t Number = 0; Number < Workers; ++Number)
      Count +=
          isFast(Number) == OfFast && Speeds.classOf(worker(Number)) == Class;
    return Count;
  }
};

} // namespace

/// Classes over 20 pools, of 12 fast and 36 common workers each, with the given
/// mean of samples per worker.
struct Classified {
  std::uint32_t Fast = 0;
  std::uint32_t Wrong = 0;
};

Classified classified(std::uint32_t Samples) {
  Classified Result;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SampledPool Pool(Seed);
    Pool.run(Samples, 2.2);
    Result.Fast += Pool.count(SpeedClass::Fast, true);
    Result.Wrong += Pool.count(SpeedClass::Fast, false) +
                    Pool.count(SpeedClass::Slow, false) +
                    Pool.count(SpeedClass::Slow, true);
  }
  return Result;
}

Test(pool_worker_speeds, six_samples_a_worker_tell_the_groups_apart) {
  Classified Result = classified(6);
  cr_assert_geq(Result.Fast, 204U);
  cr_assert_leq(Result.Wrong, 15U);
}

Test(pool_worker_speeds, fewer_samples_misplace_few_workers) {
  for (std::uint32_t Samples = 2; Samples <= 4; ++Samples)
    cr_assert_leq(classified(Samples).Wrong, 15U);
  cr_assert_geq(classified(3).Fast, 100U);
}

Test(pool_worker_speeds, relative_speed_of_the_fast_class_is_learned) {
  SampledPool Pool(1);
  Pool.run(12, 2.2);
  double Fast = Pool.Speeds.relativeSpeed(SpeedClass::Fast);
  cr_assert(Fast > 1.9 && Fast < 2.5, "%.2f", Fast);
}

Test(pool_worker_speeds, equal_speeds_give_no_classes) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SampledPool Pool(Seed);
    for (std::uint32_t Samples = 1; Samples <= 30; ++Samples) {
      Pool.run(1, 1.0);
      cr_assert_not(Pool.Speeds.isUneven());
    }
  }
}

Test(pool_worker_speeds, a_restarted_worker_starts_from_scratch) {
  SampledPool Pool(1);
  Pool.run(8, 2.2);
  WorkerId Restarted = SampledPool::worker(0);
  cr_assert(Pool.Speeds.classOf(Restarted) == SpeedClass::Fast);
  Pool.Speeds.forget(Restarted);
  Pool.run(1, 2.2);
  cr_assert(Pool.Speeds.classOf(Restarted) == SpeedClass::Common);
  Pool.run(10, 2.2);
  cr_assert(Pool.Speeds.classOf(Restarted) == SpeedClass::Fast);
}

Test(pool_worker_speeds, steps_with_too_few_runs_and_bad_rates_give_nothing) {
  WorkerSpeeds Speeds;
  TimePoint Now{100s};
  for (std::uint64_t Step = 1; Step <= 1000; ++Step) {
    for (std::uint32_t Number = 0; Number < 3; ++Number)
      Speeds.addRate({JobId(Step), 0, 0}, SampledPool::worker(Number),
                     Number == 0 ? 50.0 : 10.0, Now);
    Speeds.addRate({JobId(Step), 0, 0}, SampledPool::worker(3), 0.0, Now);
    Now += 3s;
    Speeds.refresh(Now);
  }
  cr_assert_not(Speeds.isUneven());
}
