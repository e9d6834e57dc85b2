/// \file
/// Implements WorkerSpeeds.
#include "pool/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace banyanworks::pool {

namespace {

/// Rates of other workers of the step with which a rate is compared; with
/// fewer, the length of a single task would decide.
constexpr std::size_t MinOtherRates = 3;
/// Time for which a rate waits to be compared, so that the slower workers of
/// its step have rates too: they advance by MeasuredPercent of a task of 10 s
/// within it.
constexpr Duration CompareDelay = std::chrono::seconds(2);
/// Bounds on the rates that are kept of a step, and on the steps, which are
/// dropped the oldest first. A step has at most a few hundred tasks at once.
constexpr std::size_t MaxRates = 64;
constexpr std::size_t MaxSteps = 256;
constexpr Duration StepLifetime = std::chrono::seconds(60);

constexpr std::size_t MinSamples = 3;
/// A fifth of the samples is left out at each end: tasks that are seven times
/// as long as others occur on all workers.
constexpr std::size_t TrimDivisor = 5;
/// Weight, in samples, of the assumption that the worker is common. With 1,
/// synthetic pools with equal speeds had up to a tenth of fast or slow workers.
constexpr double ShrinkageWeight = 2.0;
/// Standard deviation of a sample, as measured, and its weight, in samples,
/// against the deviation of a worker's own samples. A few samples may agree by
/// chance.
constexpr double SampleDeviation = 0.3;
constexpr double DeviationWeight = 3.0;
/// A worker is fast or slow if its speed differs by this factor, and by this
/// many standard errors.
const double MinDifference = std::log(1.35);
constexpr double MinStandardErrors = 2.0;
/// Part of the difference that lets a worker keep its class, so that a worker
/// near the bound doesn't change its class with each sample.
constexpr double KeptDifference = 0.75;
/// Part of the measured workers that has to be fast or slow, and their number.
/// With equal speeds about one in a hundred seems so by chance.
constexpr std::size_t UnevenDivisor = 10;
constexpr std::size_t MinUneven = 3;

/// Returns the median of \p Values and reorders them; 0 if there are none.
double median(std::vector<double> &Values) {
  if (Values.empty())
    return 0.0;
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  if (Values.size() % 2 == 1)
    return *Middle;
  return (*Middle + *std::max_element(Values.begin(), Middle)) / 2.0;
}

} // namespace

void WorkerSpeeds::SampleSet::add(double Sample) {
  Samples[Next] = static_cast<float>(Sample);
  Next = static_cast<std::uint8_t>((Next + 1) % MaxSamples);
  Count = static_cast<std::uint8_t>(
      std::min<std::size_t>(Count + std::size_t{1}, MaxSamples));
}

void WorkerSpeeds::SampleSet::estimate() {
  std::array<float, MaxSamples> Sorted = Samples;
  std::sort(Sorted.begin(), Sorted.begin() + Count);
  std::size_t Trimmed = Count / TrimDivisor;
  double Kept = static_cast<double>(Count - 2 * Trimmed);
  double Sum = 0.0;
  for (std::size_t Index = Trimmed; Index < Count - Trimmed; ++Index)
    Sum += Sorted[Index];
  Mean = static_cast<float>(Sum / Kept);
  Speed = static_cast<float>(Sum / Kept * Count / (Count + ShrinkageWeight));
  // The deviation that belongs to a trimmed mean: the samples that are left out
  // count as the outermost ones that are kept.
  double Squares = 0.0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    double Difference = std::clamp(Sorted[Index], Sorted[Trimmed],
                                   Sorted[Count - Trimmed - 1]) -
                        Mean;
    Squares += Difference * Difference;
  }
  double Scale = Count / Kept;
  double Variance = (DeviationWeight * SampleDeviation * SampleDeviation +
                     Squares * Scale * Scale) /
                    (DeviationWeight + Count - 1.0);
  StandardError = static_cast<float>(std::sqrt(Variance / Count));
}

void WorkerSpeeds::addRate(const StepKey &Step, const WorkerId &Worker,
                           double Rate, TimePoint Now) {
  if (!(Rate > 0.0) || !std::isfinite(Rate))
    return;
  if (Steps.size() >= MaxSteps && !Steps.contains(Step)) {
    auto Oldest = std::min_element(
        Steps.begin(), Steps.end(), [](const auto &Left, const auto &Right) {
          return Left.second.ChangedAt < Right.second.ChangedAt;
        });
    compare(Oldest->second);
    Steps.erase(Oldest);
  }
  StepRates &Rates = Steps[Step];
  if (Rates.Compared == Rates.Rates.size())
    Rates.WaitingSince = Now;
  Rates.ChangedAt = Now;
  if (Rates.Rates.size() >= MaxRates) {
    if (Rates.Compared == 0)
      compare(Rates);
    Rates.Rates.erase(Rates.Rates.begin());
    Rates.Compared -= std::min<std::size_t>(Rates.Compared, 1);
  }
  Rates.Rates.push_back({Worker, static_cast<float>(std::log(Rate))});
}

void WorkerSpeeds::forget(const WorkerId &Worker) {
  Workers.erase(Worker);
  for (auto &[Key, Step] : Steps) {
    auto IsWorker = [&Worker](const Rate &Entry) {
      return Entry.Worker == Worker;
    };
    auto Compared =
        Step.Rates.begin() + static_cast<std::ptrdiff_t>(Step.Compared);
    Step.Compared -= static_cast<std::size_t>(
        std::count_if(Step.Rates.begin(), Compared, IsWorker));
    std::erase_if(Step.Rates, IsWorker);
  }
}

double WorkerSpeeds::speedOf(const WorkerId &Worker) const {
  auto Found = Workers.find(Worker);
  return Found == Workers.end() || Found->second.Count == 0
             ? 0.0
             : Found->second.Speed - MedianSpeed;
}

void WorkerSpeeds::compare(StepRates &Step) {
  std::vector<double> Corrected;
  Corrected.reserve(Step.Rates.size());
  for (const Rate &Entry : Step.Rates)
    Corrected.push_back(Entry.Logarithm - speedOf(Entry.Worker));
  std::size_t First = Step.Compared;
  std::vector<double> Others;
  for (std::size_t Index = First; Index < Step.Rates.size(); ++Index) {
    const Rate &Own = Step.Rates[Index];
    Others.clear();
    for (std::size_t Other = 0; Other < Step.Rates.size(); ++Other)
      if (Step.Rates[Other].Worker != Own.Worker)
        Others.push_back(Corrected[Other]);
    // The rate waits for later ones of the step.
    if (Others.size() < MinOtherRates)
      return;
    Workers[Own.Worker].add(Own.Logarithm - median(Others));
    ++Step.Compared;
  }
}

bool WorkerSpeeds::refresh(TimePoint Now) {
  if (Now - RefreshedAt < RefreshInterval)
    return false;
  RefreshedAt = Now;
  bool Compared = false;
  for (auto &[Key, Step] : Steps) {
    if (Step.Compared < Step.Rates.size() &&
        Now - Step.WaitingSince >= CompareDelay) {
      compare(Step);
      Compared = true;
    }
  }
  std::erase_if(Steps, [Now](const auto &Entry) {
    return Now - Entry.second.ChangedAt > StepLifetime;
  });
  return Compared && classify();
}

bool WorkerSpeeds::classify() {
  std::vector<double> Speeds;
  for (auto &[Id, Worker] : Workers) {
    if (Worker.Count == 0)
      continue;
    Worker.estimate();
    if (Worker.Count >= MinSamples)
      Speeds.push_back(Worker.Speed);
  }
  MedianSpeed = median(Speeds);
  std::array<std::vector<double>, SpeedClasses> Means;
  bool Changed = false;
  for (auto &Entry : Workers) {
    SampleSet &Worker = Entry.second;
    if (Worker.Count < MinSamples)
      continue;
    double Difference = Worker.Speed - MedianSpeed;
    auto Differs = [&](double Part) {
      return std::abs(Difference) >
             Part * std::max(MinDifference,
                             MinStandardErrors * Worker.StandardError);
    };
    SpeedClass Side = Difference > 0.0 ? SpeedClass::Fast : SpeedClass::Slow;
    SpeedClass Class = Differs(Worker.Class == Side ? KeptDifference : 1.0)
                           ? Side
                           : SpeedClass::Common;
    Changed = Changed || Class != Worker.Class;
    Worker.Class = Class;
    Means[static_cast<std::size_t>(Class)].push_back(Worker.Mean);
  }
  auto Count = [&Means](SpeedClass Class) {
    return Means[static_cast<std::size_t>(Class)].size();
  };
  std::size_t Other = Count(SpeedClass::Fast) + Count(SpeedClass::Slow);
  bool Before = Uneven;
  // Half of that part keeps the classes, so that they don't come and go.
  Uneven = Other >= MinUneven &&
           Other * UnevenDivisor * (Before ? 2 : 1) >= Speeds.size();
  double Common = median(Means[static_cast<std::size_t>(SpeedClass::Common)]);
  for (std::size_t Class = 0; Class < SpeedClasses; ++Class) {
    RelativeSpeeds[Class] = Uneven && !Means[Class].empty()
                                ? std::exp(median(Means[Class]) - Common)
                                : 1.0;
  }
  return Before != Uneven || (Uneven && Changed);
}

SpeedClass WorkerSpeeds::classOf(const WorkerId &Worker) const {
  auto Found = Workers.find(Worker);
  return Uneven && Found != Workers.end() ? Found->second.Class
                                          : SpeedClass::Common;
}

} // namespace banyanworks::pool
