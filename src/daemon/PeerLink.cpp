/// \file
/// Implements PeerLink.
#include "daemon/PeerLink.h"

#include "daemon/Context.h"
#include "edge/Executor.h"
#include "edge/HttpClient.h"
#include "edge/JsonRpcClient.h"
#include "edge/Log.h"
#include "edge/SteadyClock.h"
#include "model/JsonFields.h"

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
/// Daemons of other failure domains get a heartbeat once in this many
/// intervals; changes of owner and configuration are announced immediately.
constexpr std::uint64_t RemoteHeartbeatIntervals = 3;
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(800);
/// A peer is considered dead if no heartbeat was exchanged for this long.
constexpr Duration PeerTimeout = std::chrono::milliseconds(2500);
constexpr Duration RemotePeerTimeout = PeerTimeout + HeartbeatInterval * 2;
constexpr auto LoopInterval = std::chrono::milliseconds(50);

json encode(const PeerState &State) {
  json Out = {{"daemon", State.Daemon},
              {"life", State.DaemonIncarnation},
              {"domain", State.Domain},
              {"listen", State.Listen},
              {"version", State.Version},
              {"draining", State.Draining},
              {"start_permission_us", State.StartPermission}};
  if (State.Owner) {
    Out["owner"] = State.Owner->Daemon;
    Out["epoch"] = State.Owner->Term;
  }
  return Out;
}

PeerState decode(const json &In) {
  PeerState State;
  State.Daemon = In.at("daemon");
  State.DaemonIncarnation = In.at("life");
  State.Domain = In.at("domain");
  State.Listen = In.at("listen");
  State.Version = In.at("version");
  State.Draining = In.at("draining");
  State.StartPermission = In.at("start_permission_us");
  if (In.contains("owner"))
    State.Owner = OwnerClaim{In.at("owner"), In.at("epoch")};
  return State;
}

} // namespace

PeerLink::PeerLink(Context &Shared, Callbacks Notify)
    : Shared(Shared), Notify(std::move(Notify)) {
  for (const std::string &Address : Shared.DaemonSettings.Peers)
    if (DaemonId(Address) != Shared.Self)
      Entries[DaemonId(Address)].State.Daemon = DaemonId(Address);
  serve("hello", [this](const std::string &P) { return handleHeartbeat(P); });
}

void PeerLink::serve(const std::string &Method, JsonRpcServer::Method Handler) {
  Server.add(Method, std::move(Handler));
}

std::string PeerLink::handle(const std::string &Request) const {
  return Server.handle(Request);
}

void PeerLink::start() {
  Thread = std::thread([this] { run(); });
}

void PeerLink::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void PeerLink::run() {
  TimePoint NextHeartbeat = steadyNow();
  while (!Stopping) {
    if (steadyNow() >= NextHeartbeat) {
      sendHeartbeats();
      NextHeartbeat = steadyNow() + HeartbeatInterval;
      Notify.IntervalElapsed();
    }
    std::this_thread::sleep_for(LoopInterval);
  }
}

/// Sends a heartbeat to the daemons of this failure domain and those not alive,
/// and in every RemoteHeartbeatIntervals-th round to all peers.
void PeerLink::sendHeartbeats() {
  bool IncludeRemote = HeartbeatRounds++ % RemoteHeartbeatIntervals == 0;
  for (const PeerEntry &Peer : peers()) {
    bool IsRemote =
        Peer.Alive && Peer.State.Domain != Shared.DaemonSettings.Domain;
    if (IsRemote && !IncludeRemote)
      continue;
    DaemonId Id = Peer.State.Daemon;
    Shared.ControlExecutor.run("hello/" + Id.str(),
                               [this, Id] { sendHeartbeat(Id); });
  }
}

void PeerLink::announce() {
  for (const PeerEntry &Peer : peers()) {
    DaemonId Id = Peer.State.Daemon;
    Shared.ControlExecutor.run("hello/" + Id.str(),
                               [this, Id] { sendHeartbeat(Id); });
  }
}

void PeerLink::sendHeartbeat(const DaemonId &Peer) {
  if (Stopping)
    return;
  Outcome<std::string> Answer =
      call(Peer, "hello", encode(Notify.LocalState()).dump(), HeartbeatTimeout);
  if (!Answer)
    return;
  Outcome<PeerState> State = decodeJson(*Answer, decode);
  if (State)
    updatePeer(*State);
}

std::string PeerLink::handleHeartbeat(const std::string &Parameters) {
  Outcome<PeerState> State = decodeJson(Parameters, decode);
  if (State)
    updatePeer(*State);
  return encode(Notify.LocalState()).dump();
}

void PeerLink::updatePeer(const PeerState &State) {
  {
    std::lock_guard Guard(Lock);
    PeerEntry &Entry = Entries[State.Daemon];
    Entry.State = State;
    Entry.LastSeen = steadyNow();
  }
  Notify.PeerStateReceived(State);
}

Outcome<std::string> PeerLink::call(const DaemonId &Peer,
                                    const std::string &Method,
                                    const std::string &Parameters,
                                    Duration Timeout) {
  bool MayHaveBeenSent = false;
  JsonRpcClient Client([&](const std::string &Request, std::string &Response) {
    HttpCall Call;
    Call.Verb = "POST";
    Call.Address = Peer.str();
    Call.Path = "/rpc";
    Call.Body = Request;
    Call.Timeout = Timeout;
    HttpCallResult Answer = Shared.Client.call(Call);
    MayHaveBeenSent = Answer.Progress != CallProgress::NotSent;
    Response = std::move(Answer.Body);
    return Answer.succeeded();
  });
  JsonRpcResult Result = Client.call(Method, Parameters);
  if (Result.Ok)
    return std::move(Result.Value);
  Reason Cause =
      MayHaveBeenSent ? Reason::OutcomeUnknown : Reason::DomainUnreachable;
  return fail(Cause, "daemon " + Peer.str() + ": " + Result.Fault);
}

std::vector<PeerEntry> PeerLink::peers() const {
  std::lock_guard Guard(Lock);
  std::vector<PeerEntry> Result;
  TimePoint Now = steadyNow();
  for (const auto &[Id, Entry] : Entries) {
    Result.push_back(Entry);
    bool IsLocal = Entry.State.Domain == Shared.DaemonSettings.Domain;
    Result.back().Alive =
        !Entry.State.Domain.empty() &&
        Now - Entry.LastSeen < (IsLocal ? PeerTimeout : RemotePeerTimeout);
  }
  return Result;
}

std::optional<OwnerClaim> PeerLink::ownerOf(const DomainId &Domain) const {
  std::optional<OwnerClaim> Best;
  for (const PeerEntry &Peer : peers()) {
    if (!Peer.Alive || Peer.State.Domain != Domain || !Peer.State.Owner)
      continue;
    if (!Best || Best->Term < Peer.State.Owner->Term)
      Best = Peer.State.Owner;
  }
  return Best;
}

} // namespace banyanworks
