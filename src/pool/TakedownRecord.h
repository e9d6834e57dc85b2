/// \file
/// Defines TakedownRecord, the hosts that an owner may have ordered to be taken
/// down, as they are stored for its successor.
#ifndef BANYANWORKS_POOL_TAKEDOWNRECORD_H
#define BANYANWORKS_POOL_TAKEDOWNRECORD_H

#include "base/Error.h"
#include "pool/MaintenanceWave.h"

#include <map>
#include <set>
#include <string>

namespace banyanworks::pool {

/// The hosts of each wave, with the worker that each host had when it was
/// recorded.
class TakedownRecord {
public:
  using HostsOfWave = std::map<HostId, WorkerId>;

  /// Parses the stored form; an error if it is malformed.
  static Outcome<TakedownRecord> decode(const std::string &Stored);
  /// The stored form, a JSON list of rows of wave, host and worker; empty if
  /// there are no hosts.
  std::string encode() const;

  void add(WaveNumber Wave, const HostId &Host, const WorkerId &Worker) {
    Waves[Wave][Host] = Worker;
  }
  bool contains(WaveNumber Wave, const HostId &Host) const;
  /// True if each host of \p Other is also in this record.
  bool covers(const TakedownRecord &Other) const;
  bool empty() const { return Waves.empty(); }
  /// The hosts of one wave.
  HostsOfWave hostsOf(WaveNumber Wave) const;
  /// The workers of all hosts.
  std::set<WorkerId> workers() const;

  bool operator==(const TakedownRecord &) const = default;

private:
  std::map<WaveNumber, HostsOfWave> Waves;
};

} // namespace banyanworks::pool

#endif
