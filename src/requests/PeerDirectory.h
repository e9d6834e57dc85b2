/// \file
/// Defines PeerDirectory, which daemons of the deployment are alive, and which
/// of them is the home of a thing.
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

/// Another daemon as this one knows it.
struct Peer {
  PeerInfo Info;
  Incarnation LastIncarnation;
  bool HasReported = false;
  bool Leaving = false;
  TimePoint LastReportAt;
  /// The latest report that was taken, and the sender's clock in it.
  std::uint64_t LastSequence = 0;
  std::int64_t LastSentAt = 0;
  std::uint64_t LiveDigest = 0;
};

/// Tracks the peers by their reports.
class PeerDirectory {
public:
  explicit PeerDirectory(const RouterSettings &Settings);

  /// Takes the list of the deployment's daemons; keeps what is known of those
  /// that stay.
  void setPeers(const std::vector<PeerInfo> &List);

  /// Notes a report. False if it is older than one that was taken before, or
  /// of a daemon outside the deployment.
  bool recordReport(TimePoint Now, const PeerReport &Report);

  bool isAlive(TimePoint Now, const DaemonId &Daemon) const;

  /// The live daemons, this one included, in the order in which they are the
  /// home of \p Key; those of \p Near come first. Leaving ones are left out.
  std::vector<DaemonId> rankHomes(TimePoint Now, std::string_view Key,
                                  const DomainId &Near) const;

  /// A digest of the live daemons, this one included.
  std::uint64_t liveDigest(TimePoint Now) const;

  const std::map<DaemonId, Peer> &all() const { return Peers; }
  const DaemonId &self() const { return Self; }
  void leave() { Leaving = true; }
  bool leaving() const { return Leaving; }

private:
  DaemonId Self;
  DomainId Domain;
  Duration Timeout;
  bool Leaving = false;
  std::map<DaemonId, Peer> Peers;
};

} // namespace banyanworks

#endif
