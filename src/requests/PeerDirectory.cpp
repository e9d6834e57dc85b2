/// \file
/// Implements PeerDirectory by rendezvous hashing over the live daemons.
#include "requests/PeerDirectory.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace banyanworks {

namespace {

std::uint64_t weight(const DaemonId &Daemon, std::string_view Key) {
  std::uint64_t Seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Daemon.str().data(), Daemon.str().size(), Seed);
}

} // namespace

PeerDirectory::PeerDirectory(const RouterSettings &Settings)
    : Self(Settings.Self), Domain(Settings.Domain),
      Timeout(Settings.Peers.Timeout) {}

void PeerDirectory::setPeers(const std::vector<PeerInfo> &List) {
  std::map<DaemonId, Peer> Kept;
  for (const PeerInfo &Info : List) {
    if (Info.Daemon == Self)
      continue;
    auto Known = Peers.find(Info.Daemon);
    Kept[Info.Daemon] = Known == Peers.end() ? Peer() : Known->second;
    Kept[Info.Daemon].Info = Info;
  }
  Peers = std::move(Kept);
}

bool PeerDirectory::recordReport(TimePoint Now, const PeerReport &Report) {
  auto Found = Peers.find(Report.From);
  if (Found == Peers.end())
    return false;
  Peer &Known = Found->second;
  auto Stamp = std::tuple(Report.SenderIncarnation, Report.Sequence);
  if (Known.HasReported &&
      Stamp <= std::tuple(Known.LastIncarnation, Known.LastSequence))
    return false;
  Known.LastIncarnation = Report.SenderIncarnation;
  Known.LastSequence = Report.Sequence;
  Known.LastSentAt = Report.SentAt;
  Known.LiveDigest = Report.LiveDigest;
  Known.Leaving = Report.Leaving;
  Known.LastReportAt = Now;
  Known.HasReported = true;
  return true;
}

bool PeerDirectory::isAlive(TimePoint Now, const DaemonId &Daemon) const {
  if (Daemon == Self)
    return true;
  auto Found = Peers.find(Daemon);
  return Found != Peers.end() && Found->second.HasReported &&
         Now - Found->second.LastReportAt < Timeout;
}

std::vector<DaemonId> PeerDirectory::rankHomes(TimePoint Now,
                                               std::string_view Key,
                                               const DomainId &Near) const {
  using Rank = std::tuple<bool, std::uint64_t, DaemonId>;
  std::vector<Rank> Ranks;
  if (!Leaving)
    Ranks.emplace_back(Domain == Near, weight(Self, Key), Self);
  for (const auto &[Id, Known] : Peers)
    if (isAlive(Now, Id) && !Known.Leaving)
      Ranks.emplace_back(Known.Info.Domain == Near, weight(Id, Key), Id);
  std::sort(Ranks.rbegin(), Ranks.rend());
  std::vector<DaemonId> Result;
  Result.reserve(Ranks.size());
  for (const Rank &Entry : Ranks)
    Result.push_back(std::get<DaemonId>(Entry));
  return Result;
}

std::uint64_t PeerDirectory::liveDigest(TimePoint Now) const {
  std::vector<std::string> Names;
  if (!Leaving)
    Names.push_back(Self.str());
  for (const auto &[Id, Known] : Peers)
    if (isAlive(Now, Id) && !Known.Leaving)
      Names.push_back(Id.str());
  std::sort(Names.begin(), Names.end());
  std::uint64_t Digest = 0;
  for (const std::string &Text : Names)
    Digest = XXH64(Text.data(), Text.size(), Digest);
  return Digest;
}

} // namespace banyanworks
