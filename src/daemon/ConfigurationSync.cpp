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

constexpr Duration RootReadTimeout = std::chrono::milliseconds(700);
constexpr Duration HistoryReadTimeout = std::chrono::seconds(1);
/// The most versions that history() returns.
constexpr std::uint64_t MaxHistoryEntries = 20;
constexpr const char *ApplyTaskKey = "configuration-apply";

std::optional<ConfigurationManifest> manifestOf(const StoreOutcome &Outcome) {
  if (Outcome.Status != StoreStatus::Done)
    return std::nullopt;
  auto *Read = std::get_if<EntryAnswer>(&Outcome.Answer.Result);
  if (!Read || !Read->Entry)
    return std::nullopt;
  return decodeManifest(Read->Entry->Value);
}

} // namespace

/// Carries out one action of the replica; called with its lock held.
struct ConfigurationSync::ReplicaActionVisitor {
  ConfigurationSync &Sync;

  void operator()(const StoreCommand &Command) const {
    ConfigurationSync &Target = Sync;
    Sync.Store.submit(
        Command.Request, Command.Timeout,
        [&Target, Tag = Command.Tag](const StoreOutcome &Outcome) {
          Target.handle(ReplicaStoreAnswered{Tag, Outcome});
        });
  }
  void operator()(const PullConfiguration &Action) const {
    Sync.Notify.PullSnapshot(Action.Peer);
  }
  void operator()(const AnnounceVersion &) const { Sync.Notify.Announce(); }
  void operator()(const ConfigurationInForce &Action) const {
    Sync.Shared.ControlExecutor.run(
        ApplyTaskKey, [&Target = Sync, Snapshot = Action.Snapshot] {
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
    Sync.Shared.ControlExecutor.run(
        "configuration-restore",
        [&Target = Sync, Change] { Target.runPublication(Change); });
  }
};

/// Carries out one action of the start permission; called with its lock held.
struct ConfigurationSync::PermissionActionVisitor {
  ConfigurationSync &Sync;

  void operator()(const ConfirmRoot &) const { Sync.confirmRoot(); }
  void operator()(const AskOwners &) const {
    Sync.Notify.RequestOwnerVersions();
  }
  void operator()(const StartUntilChanged &Action) const {
    Sync.StartUntil = Action.StartUntil;
    Sync.Notify.PermissionChanged(Action.StartUntil);
  }
};

ConfigurationSync::ConfigurationSync(Context &Shared, StoreOperations &Store,
                                     ConfigurationHolder &Holder,
                                     Callbacks Notify)
    : Shared(Shared), Store(Store), Holder(Holder), Notify(std::move(Notify)),
      Permission(Shared.DaemonSettings.Domain) {}

void ConfigurationSync::tick() { handle(ReplicaTick{}); }

void ConfigurationSync::setWatching(bool Watching) {
  handle(WatcherChanged{Watching});
}

void ConfigurationSync::handle(const ReplicaEvent &Event) {
  std::lock_guard Guard(Lock);
  for (const ReplicaAction &Action : Replica.handle(Event, steadyNow()))
    std::visit(ReplicaActionVisitor{*this}, Action);
}

void ConfigurationSync::handle(const PermissionEvent &Event) {
  std::lock_guard Guard(PermissionLock);
  for (const PermissionAction &Action : Permission.handle(Event, steadyNow()))
    std::visit(PermissionActionVisitor{*this}, Action);
}

void ConfigurationSync::confirmRoot() {
  Store.submit(GetRequest{std::string(ConfigurationRootKey)}, RootReadTimeout,
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
    if (Id == Shared.DaemonSettings.Domain)
      Event.InService = Domain.InService;
  }
  Holder.update(std::make_shared<const Configuration>(*std::move(Decoded)));
  handle(Event);
}

PublishResult ConfigurationSync::runPublication(Publication Change) {
  ConfigurationPublisher Publisher(std::move(Change),
                                   {Shared.SelfIncarnation, ++WriteCount});
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
  PublishResult Result = runPublication(std::move(Change));
  switch (Result.Status) {
  case PublishStatus::Accepted:
    // The replica reads the new version immediately instead of waiting for its
    // watch to report it.
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
              "the store did not say whether the version was written; look at "
              "the history");
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
  while (--Version > 0 && Result.size() < MaxHistoryEntries) {
    std::optional<ConfigurationManifest> Older = manifestOf(Store.run(
        GetRequest{historyKey(ConfigVersion(Version))}, HistoryReadTimeout));
    if (!Older)
      break;
    Result.push_back({Older->Version, Older->Author, Older->Comment});
  }
  return Result;
}

TimePoint ConfigurationSync::startUntil() const { return StartUntil; }

} // namespace banyanworks
