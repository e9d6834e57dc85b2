/// \file
/// Defines PeerDirectory, which tracks the live daemons of the deployment and
/// determines the home daemon of a key.
#ifndef BANYANWORKS_REQUESTS_PEERDIRECTORY_H
#define BANYANWORKS_REQUESTS_PEERDIRECTORY_H

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/RequestEvents.h"
#include "requests/RouterSettings.h"

#include <map>
#include <string_view>
#include <vector>

namespace banyanworks {

/// The state of another daemon according to its reports.
struct Peer {
  PeerInfo Info;
  Incarnation LastIncarnation;
  bool HasReported = false;
  bool Draining = false;
  TimePoint LastReportAt;
  /// Sequence number and sender clock of the latest accepted report.
  std::uint64_t LastSequence = 0;
  std::int64_t LastSentAt = 0;
  std::uint64_t LiveDigest = 0;
};

/// Tracks the liveness of peers by their reports.
class PeerDirectory {
public:
  explicit PeerDirectory(const RouterSettings &Settings);

  /// Sets the daemons of the deployment; keeps the state of those already
  /// known.
  void setPeers(const std::vector<PeerInfo> &List);

  /// Records a report. Returns false if it is not newer than the latest
  /// accepted one or if its sender is not in the deployment.
  bool recordReport(TimePoint Now, const PeerReport &Report);

  bool isAlive(TimePoint Now, const DaemonId &Daemon) const;

  /// The live daemons including this one, ordered by preference as home of
  /// \p Key: daemons of the failure domain \p PreferredDomain first, then by
  /// rendezvous hash. Daemons that shut down are excluded.
  std::vector<DaemonId> rankHomes(TimePoint Now, std::string_view Key,
                                  const DomainId &PreferredDomain) const;

  /// A hash of the live daemons, including this one. Daemons that shut down are
  /// excluded.
  std::uint64_t liveDigest(TimePoint Now) const;

  const std::map<DaemonId, Peer> &all() const { return Peers; }
  const DaemonId &self() const { return Self; }
  void startDraining() { SelfDraining = true; }
  bool isDraining() const { return SelfDraining; }

private:
  DaemonId Self;
  DomainId Domain;
  Duration Timeout;
  bool SelfDraining = false;
  std::map<DaemonId, Peer> Peers;
};

} // namespace banyanworks

#endif
