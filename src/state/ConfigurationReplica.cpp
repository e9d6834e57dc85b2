/// \file
/// Implements how a daemon learns and activates configuration versions.
#include "state/ConfigurationReplica.h"

#include <utility>

namespace banyanworks {

namespace {

constexpr StoreTag RootTag(1);
constexpr StoreTag WatchTag(2);
constexpr StoreTag FirstChunkTag(3);
constexpr Duration RootTimeout = std::chrono::seconds(1);
constexpr Duration RootRetryInterval = std::chrono::seconds(1);
constexpr Duration WatchDuration = std::chrono::seconds(20);
constexpr Duration PullTimeout = std::chrono::milliseconds(500);
/// Consecutive reads that must show an older root before the replica concludes
/// that the store lost the newer version; a single read may be stale.
constexpr std::uint32_t ReadsToConfirmLoss = 3;

} // namespace

struct ConfigurationReplica::Visitor {
  ConfigurationReplica &Replica;
  TimePoint Now;
  Actions &Out;

  void operator()(const ReplicaTick &) const {}
  void operator()(const WatcherChanged &Event) const {
    Replica.IsWatcher = Event.IsWatcher;
    if (Event.IsWatcher)
      Replica.NextRootRead = Now;
  }
  void operator()(const ReplicaStoreAnswered &Event) const {
    if (Event.Tag == RootTag)
      Replica.onRootRead(Event.Outcome, Now, Out);
    else if (Event.Tag == WatchTag)
      Replica.onWatchEnded(Event.Outcome, Now, Out);
    else if (Event.Tag == Replica.chunkTag())
      Replica.onChunkRead(Event.Outcome, Now, Out);
  }
  void operator()(const RootObserved &Event) const {
    Replica.onRootObserved(Event.Manifest, true, Out);
  }
  void operator()(const PeerVersionReported &Event) const {
    Replica.Peers[Event.Peer] = Event.Version;
  }
  void operator()(const PeerSnapshotReceived &Event) const {
    if (Replica.PullSource == Event.Peer)
      Replica.PullSource.reset();
    if (!Event.Snapshot || !isIntact(*Event.Snapshot)) {
      ++Replica.Counters.DamagedSnapshots;
      Replica.Peers.erase(Event.Peer);
      return;
    }
    Replica.install(Event.Snapshot, Out);
  }
  void operator()(const PeerLeft &Event) const {
    Replica.Peers.erase(Event.Peer);
    if (Replica.PullSource == Event.Peer)
      Replica.PullSource.reset();
  }
};

std::vector<ReplicaAction>
ConfigurationReplica::handle(const ReplicaEvent &Event, TimePoint Now) {
  Actions Out;
  std::visit(Visitor{*this, Now, Out}, Event);
  advance(Now, Out);
  return Out;
}

ConfigVersion ConfigurationReplica::version() const {
  return Current ? Current->Manifest.Version : ConfigVersion();
}

void ConfigurationReplica::advance(TimePoint Now, Actions &Out) {
  // Every daemon reads the root once after start; afterwards only the watcher
  // reads it.
  bool RootReadWanted = (IsWatcher || !InitialReadDone) && !WatchRequested;
  if (RootReadWanted && !RootRequested && !Reader && Now >= NextRootRead)
    readRoot(Out);
  pullFromPeer(Now, Out);
}

void ConfigurationReplica::readRoot(Actions &Out) {
  RootRequested = true;
  Out.push_back(StoreCommand{
      RootTag, GetRequest{std::string(ConfigurationRootKey)}, RootTimeout});
}

void ConfigurationReplica::onRootRead(const StoreOutcome &Outcome,
                                      TimePoint Now, Actions &Out) {
  RootRequested = false;
  NextRootRead = Now + RootRetryInterval;
  const auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (Outcome.Status != StoreStatus::Done || !Read)
    return;
  InitialReadDone = true;
  if (!Read->Entry) {
    onRootObserved(ConfigurationManifest(), true, Out);
  } else if (auto Root = decodeManifest(Read->Entry->Value)) {
    onRootObserved(*Root, true, Out);
  }
  if (!IsWatcher || OlderRootReads > 0)
    return;
  WatchRequested = true;
  WatchAfter = Outcome.Answer.Revision;
  Out.push_back(StoreCommand{WatchTag,
                             WatchRequest{std::string(ConfigurationRootKey),
                                          WatchAfter, WatchDuration},
                             WatchDuration + RootTimeout});
}

void ConfigurationReplica::onWatchEnded(const StoreOutcome &Outcome,
                                        TimePoint Now, Actions &Out) {
  WatchRequested = false;
  // The root is read again after each watch, because a watch may lose events.
  NextRootRead =
      Outcome.Status == StoreStatus::Done ? Now : Now + RootRetryInterval;
  const auto *Changes = std::get_if<EventsAnswer>(&Outcome.Answer.Result);
  if (Outcome.Status != StoreStatus::Done || !Changes)
    return;
  for (const StoreEvent &Event : Changes->Events) {
    if (!Event.Entry)
      continue;
    if (auto Root = decodeManifest(Event.Entry->Value))
      onRootObserved(*Root, false, Out);
  }
}

void ConfigurationReplica::onRootObserved(const ConfigurationManifest &Root,
                                          bool FromStore, Actions &Out) {
  if (Root.Version < version()) {
    ++Counters.OlderVersionsIgnored;
    if (FromStore && ++OlderRootReads == ReadsToConfirmLoss) {
      OlderRootReads = 0;
      Out.push_back(RestoreConfiguration{Root.Version, Current});
    }
    return;
  }
  if (FromStore)
    OlderRootReads = 0;
  if (Root.Version == version()) {
    if (Current && Root.Digest != Current->Manifest.Digest)
      ++Counters.DivergentVersions;
    return;
  }
  if (Reader && Reader->manifest().Version >= Root.Version)
    return;
  Reader.emplace(Root);
  ++ReaderGeneration;
  readNextChunk(Out);
}

StoreTag ConfigurationReplica::chunkTag() const {
  return StoreTag(FirstChunkTag.value() + ReaderGeneration);
}

void ConfigurationReplica::readNextChunk(Actions &Out) {
  if (auto Command = Reader->nextCommand()) {
    Command->Tag = chunkTag();
    Out.push_back(std::move(*Command));
    return;
  }
  ConfigurationSnapshotPtr Snapshot = Reader->snapshot();
  Reader.reset();
  if (Snapshot) {
    install(Snapshot, Out);
    return;
  }
  // The version may have been superseded and its chunks deleted meanwhile.
  NextRootRead = TimePoint();
  InitialReadDone = false;
}

void ConfigurationReplica::onChunkRead(const StoreOutcome &Outcome,
                                       TimePoint Now, Actions &Out) {
  if (!Reader)
    return;
  Reader->handleOutcome(Outcome);
  readNextChunk(Out);
  if (!InitialReadDone)
    NextRootRead = Now + RootRetryInterval;
}

void ConfigurationReplica::install(const ConfigurationSnapshotPtr &Snapshot,
                                   Actions &Out) {
  if (Snapshot->Manifest.Version <= version()) {
    ++Counters.OlderVersionsIgnored;
    return;
  }
  Current = Snapshot;
  Out.push_back(ConfigurationInForce{Current});
  Out.push_back(AnnounceVersion{version()});
}

void ConfigurationReplica::pullFromPeer(TimePoint Now, Actions &Out) {
  if (PullSource && Now < PullDeadline)
    return;
  if (PullSource) {
    // The pull timed out. The peer becomes a candidate again when it next
    // reports its version.
    Peers.erase(*PullSource);
    PullSource.reset();
  }
  ConfigVersion NewestVersion = version();
  for (const auto &[Peer, Version] : Peers) {
    if (Version <= NewestVersion)
      continue;
    NewestVersion = Version;
    PullSource = Peer;
  }
  if (!PullSource)
    return;
  PullDeadline = Now + PullTimeout;
  Out.push_back(PullConfiguration{*PullSource});
}

} // namespace banyanworks
