/// \file
/// Implements PeerDirectory by rendezvous hashing over the live daemons.
#include "requests/PeerDirectory.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace banyanworks {

namespace {

std::uint64_t rendezvousWeight(const DaemonId &Daemon, std::string_view Key) {
  std::uint64_t Seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Daemon.str().data(), Daemon.str().size(), Seed);
}

} // namespace

PeerDirectory::PeerDirectory(const RouterSettings &Settings)
    : Self(Settings.Self), Domain(Settings.Domain),
      Timeout(Settings.Peers.Timeout) {}

void PeerDirectory::setPeers(const std::vector<PeerInfo> &List) {
  std::map<DaemonId, Peer> NewPeers;
  for (const PeerInfo &Info : List) {
    if (Info.Daemon == Self)
      continue;
    auto Previous = Peers.find(Info.Daemon);
    NewPeers[Info.Daemon] = Previous == Peers.end() ? Peer() : Previous->second;
    NewPeers[Info.Daemon].Info = Info;
  }
  Peers = std::move(NewPeers);
}

bool PeerDirectory::recordReport(TimePoint Now, const PeerReport &Report) {
  auto Found = Peers.find(Report.Sender);
  if (Found == Peers.end())
    return false;
  Peer &Sender = Found->second;
  auto Stamp = std::tuple(Report.SenderIncarnation, Report.Sequence);
  if (Sender.HasReported &&
      Stamp <= std::tuple(Sender.LastIncarnation, Sender.LastSequence))
    return false;
  Sender.LastIncarnation = Report.SenderIncarnation;
  Sender.LastSequence = Report.Sequence;
  Sender.LastSentAt = Report.SentAt;
  Sender.LiveDigest = Report.LiveDigest;
  Sender.Draining = Report.Draining;
  Sender.LastReportAt = Now;
  Sender.HasReported = true;
  return true;
}

bool PeerDirectory::isAlive(TimePoint Now, const DaemonId &Daemon) const {
  if (Daemon == Self)
    return true;
  auto Found = Peers.find(Daemon);
  return Found != Peers.end() && Found->second.HasReported &&
         Now - Found->second.LastReportAt < Timeout;
}

std::vector<DaemonId>
PeerDirectory::rankHomes(TimePoint Now, std::string_view Key,
                         const DomainId &PreferredDomain) const {
  using Rank = std::tuple<bool, std::uint64_t, DaemonId>;
  std::vector<Rank> Ranks;
  if (!SelfDraining)
    Ranks.emplace_back(Domain == PreferredDomain, rendezvousWeight(Self, Key),
                       Self);
  for (const auto &[Id, Candidate] : Peers) {
    if (isAlive(Now, Id) && !Candidate.Draining)
      Ranks.emplace_back(Candidate.Info.Domain == PreferredDomain,
                         rendezvousWeight(Id, Key), Id);
  }
  std::sort(Ranks.rbegin(), Ranks.rend());
  std::vector<DaemonId> Result;
  Result.reserve(Ranks.size());
  for (const Rank &Entry : Ranks)
    Result.push_back(std::get<DaemonId>(Entry));
  return Result;
}

std::uint64_t PeerDirectory::liveDigest(TimePoint Now) const {
  std::vector<std::string> Names;
  if (!SelfDraining)
    Names.push_back(Self.str());
  for (const auto &[Id, Entry] : Peers)
    if (isAlive(Now, Id) && !Entry.Draining)
      Names.push_back(Id.str());
  std::sort(Names.begin(), Names.end());
  std::uint64_t Digest = 0;
  for (const std::string &Text : Names)
    Digest = XXH64(Text.data(), Text.size(), Digest);
  return Digest;
}

} // namespace banyanworks
