/// \file
/// Implements ConfigurationSync.
#include "daemon/ConfigurationSync.h"

#include "base/Reason.h"
#include "daemon/ConfigurationHolder.h"
#include "daemon/Context.h"
#include "daemon/StoreOperations.h"
#include "edge/Executor.h"
#include "edge/Log.h"
#include "edge/PackedText.h"
#include "edge/SteadyClock.h"
#include "model/ConfigurationJson.h"

namespace banyanworks {

namespace {

constexpr Duration RootReadLimit = std::chrono::milliseconds(700);
constexpr Duration HistoryReadLimit = std::chrono::seconds(1);
/// Versions that the history shows, the newest first.
constexpr std::uint64_t HistoryShown = 20;
constexpr const char *ApplyKey = "configuration-apply";

std::optional<ConfigurationManifest> manifestOf(const StoreOutcome &Outcome) {
  if (Outcome.Status != StoreStatus::Done)
    return std::nullopt;
  auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (!Read || !Read->Entry)
    return std::nullopt;
  return decodeManifest(Read->Entry->Value);
}

} // namespace

/// Carries out one action of the replica; called under its lock.
struct ConfigurationSync::ReplicaPerformer {
  ConfigurationSync &Sync;

  void operator()(const StoreCommand &Ask) const {
    ConfigurationSync &Target = Sync;
    Sync.Store.submit(Ask.Request, Ask.Timeout,
                      [&Target, Tag = Ask.Tag](const StoreOutcome &Outcome) {
                        Target.handle(ReplicaStoreAnswered{Tag, Outcome});
                      });
  }
  void operator()(const PullConfiguration &Action) const {
    Sync.Tell.Pull(Action.Peer);
  }
  void operator()(const AnnounceVersion &) const { Sync.Tell.Announce(); }
  void operator()(const ConfigurationInForce &Action) const {
    Sync.Shared.Pool.run(ApplyKey,
                         [&Target = Sync, Snapshot = Action.Snapshot] {
                           Target.install(Snapshot);
                         });
  }
  void operator()(const RestoreConfiguration &Action) const {
    Publication Change{Action.StoreVersion, Action.Snapshot->Manifest.Version,
                       Action.Snapshot->Payload,
                       Action.Snapshot->Manifest.Author,
                       Action.Snapshot->Manifest.Comment};
    logWarning("configuration_restored",
               {{"version", std::to_string(Change.Version.value())}});
    Sync.Shared.Pool.run("configuration-restore",
                         [&Target = Sync, Change] { Target.run(Change); });
  }
};

/// Carries out one action of the permission; called under its lock.
struct ConfigurationSync::PermissionPerformer {
  ConfigurationSync &Sync;

  void operator()(const ConfirmRoot &) const { Sync.confirmRoot(); }
  void operator()(const AskOwners &) const { Sync.Tell.AskOwners(); }
  void operator()(const StartUntilChanged &Action) const {
    Sync.StartUntil = Action.StartUntil;
    Sync.Tell.StartUntil(Action.StartUntil);
  }
};

ConfigurationSync::ConfigurationSync(Context &Shared, StoreOperations &Store,
                                     ConfigurationHolder &Holder, Listener Tell)
    : Shared(Shared), Store(Store), Holder(Holder), Tell(std::move(Tell)),
      Permission(Shared.Config.Domain) {}

void ConfigurationSync::tick() { handle(ReplicaTick{}); }

void ConfigurationSync::watches(bool Watching) {
  handle(WatcherChanged{Watching});
}

void ConfigurationSync::handle(const ReplicaEvent &Event) {
  std::lock_guard Guard(Lock);
  for (const ReplicaAction &Action : Replica.handle(Event, steadyNow()))
    std::visit(ReplicaPerformer{*this}, Action);
}

void ConfigurationSync::handle(const PermissionEvent &Event) {
  std::lock_guard Guard(PermissionLock);
  for (const PermissionAction &Action : Permission.handle(Event, steadyNow()))
    std::visit(PermissionPerformer{*this}, Action);
}

void ConfigurationSync::confirmRoot() {
  Store.submit(GetRequest{std::string(ConfigurationRootKey)}, RootReadLimit,
               [this](const StoreOutcome &Outcome) {
                 std::optional<ConfigurationManifest> Root =
                     manifestOf(Outcome);
                 if (!Root)
                   return;
                 handle(RootObserved{*Root});
                 handle(RootConfirmed{Root->Version, Outcome.FreshSince});
               });
}

void ConfigurationSync::install(const ConfigurationSnapshotPtr &Snapshot) {
  Outcome<Configuration> Decoded =
      unpackText(Snapshot->Payload).and_then(configurationFromJson);
  if (!Decoded) {
    logError("configuration_unreadable", {{"fault", Decoded.error().Message}});
    return;
  }
  Decoded->Version = Snapshot->Manifest.Version;
  PermissionConfiguration Event;
  Event.Version = Decoded->Version;
  for (const auto &[Id, Domain] : Decoded->Domains) {
    Event.Domains.push_back(Id);
    if (Id == Shared.Config.Domain)
      Event.InService = Domain.In;
  }
  Holder.offer(std::make_shared<const Configuration>(*std::move(Decoded)));
  handle(Event);
}

PublishResult ConfigurationSync::run(Publication Change) {
  ConfigurationPublisher Publisher(std::move(Change), {Shared.Life, ++Writes});
  std::optional<StoreCommand> Next = Publisher.start();
  while (Next)
    Next = Publisher.handleOutcome(Store.run(Next->Request, Next->Timeout));
  return Publisher.result().value_or(PublishResult());
}

Outcome<ConfigVersion> ConfigurationSync::publish(Configuration Next) {
  Publication Change;
  Change.Base = Next.Version;
  Change.Version = Next.Version.next();
  Next.Version = Change.Version;
  Change.Payload = packText(configurationToJson(Next));
  Change.Author = Next.Author;
  Change.Comment = Next.Comment;
  PublishResult Result = run(std::move(Change));
  switch (Result.Status) {
  case PublishStatus::Accepted:
    // The replica reads it back at once instead of waiting for its watch.
    confirmRoot();
    return Result.Version;
  case PublishStatus::Conflict:
    return fail(Reason::VersionConflict, "another operator published first");
  case PublishStatus::NotApplied:
    return fail(Reason::StoreUnavailable, "the store does not answer");
  case PublishStatus::Unknown:
    break;
  }
  return fail(Reason::OutcomeUnknown,
              "the store did not say whether the version was written; look "
              "at the history");
}

ConfigurationSnapshotPtr ConfigurationSync::snapshot() const {
  std::lock_guard Guard(Lock);
  return Replica.snapshot();
}

std::vector<ConfigurationSummary> ConfigurationSync::history() {
  std::vector<ConfigurationSummary> Result;
  ConfigurationSnapshotPtr Newest = snapshot();
  if (!Newest)
    return Result;
  const ConfigurationManifest &Top = Newest->Manifest;
  Result.push_back({Top.Version, Top.Author, Top.Comment});
  std::uint64_t Version = Top.Version.value();
  while (--Version > 0 && Result.size() < HistoryShown) {
    std::optional<ConfigurationManifest> Older = manifestOf(Store.run(
        GetRequest{historyKey(ConfigVersion(Version))}, HistoryReadLimit));
    if (!Older)
      break;
    Result.push_back({Older->Version, Older->Author, Older->Comment});
  }
  return Result;
}

TimePoint ConfigurationSync::startUntil() const { return StartUntil; }

} // namespace banyanworks
