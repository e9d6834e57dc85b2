/// \file
/// Defines WorkerSpeed, how fast a worker has run tasks, compared with others.
#ifndef BANYANWORKS_POOL_WORKERSPEED_H
#define BANYANWORKS_POOL_WORKERSPEED_H

namespace banyanworks::pool {

/// Answers a pool in which some workers are always slower than others, which
/// nobody declares: a gang runs at the speed of its slowest member, and urgent
/// gangs with little slack end late when one of them is on such a worker.
class WorkerSpeed {
public:
  /// A task got on at \p Ratio times the pace that tasks like it have on other
  /// workers.
  void sample(double Ratio);
  /// Whether urgent work is better placed elsewhere.
  bool slow() const { return Samples > 0 && Mean < SlowRatio; }

private:
  /// Tasks of one step differ by about 15%, which a few samples average out; a
  /// worker below this is slower than that.
  static constexpr double SlowRatio = 0.87;
  /// A sample outside these bounds tells of a passing fault.
  static constexpr double LeastRatio = 0.4;
  static constexpr double MostRatio = 2.5;
  /// The weight of the newest of many samples.
  static constexpr double LeastWeight = 0.2;

  double Mean = 1.0;
  unsigned Samples = 0;
};

} // namespace banyanworks::pool

#endif
