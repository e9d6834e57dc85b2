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
/// Daemons of other failure domains are greeted in every so many intervals;
/// changes of owner and configuration are announced at once.
constexpr std::uint64_t FarIntervals = 3;
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(800);
/// A peer that was not heard for this long counts as dead.
constexpr Duration SilenceLimit = std::chrono::milliseconds(2500);
constexpr Duration FarSilenceLimit = SilenceLimit + HeartbeatInterval * 2;
constexpr auto LoopStep = std::chrono::milliseconds(50);

json encode(const PeerState &State) {
  json Out = {{"daemon", State.Daemon},
              {"life", State.Life},
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
  State.Life = In.at("life");
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

PeerLink::PeerLink(Context &Shared, Listener Tell)
    : Shared(Shared), Tell(std::move(Tell)) {
  for (const std::string &Address : Shared.Config.Peers)
    if (DaemonId(Address) != Shared.Self)
      Known[DaemonId(Address)].State.Daemon = DaemonId(Address);
  serve("hello", [this](const std::string &P) { return greeted(P); });
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
  TimePoint Next = steadyNow();
  while (!Stopping) {
    if (steadyNow() >= Next) {
      beat();
      Next = steadyNow() + HeartbeatInterval;
      Tell.Beat();
    }
    std::this_thread::sleep_for(LoopStep);
  }
}

/// Greets the daemons of this failure domain, and all from time to time.
void PeerLink::beat() {
  bool All = Beats++ % FarIntervals == 0;
  for (const PeerEntry &Peer : peers()) {
    bool Far = Peer.Alive && Peer.State.Domain != Shared.Config.Domain;
    if (Far && !All)
      continue;
    DaemonId Id = Peer.State.Daemon;
    Shared.Pool.run("hello/" + Id.str(), [this, Id] { greet(Id); });
  }
}

void PeerLink::announce() {
  for (const PeerEntry &Peer : peers()) {
    DaemonId Id = Peer.State.Daemon;
    Shared.Pool.run("hello/" + Id.str(), [this, Id] { greet(Id); });
  }
}

void PeerLink::greet(const DaemonId &Peer) {
  if (Stopping)
    return;
  Outcome<std::string> Answer =
      call(Peer, "hello", encode(Tell.Describe()).dump(), HeartbeatTimeout);
  if (!Answer)
    return;
  Outcome<PeerState> State = decodeJson(*Answer, decode);
  if (State)
    note(*State);
}

std::string PeerLink::greeted(const std::string &Parameters) {
  Outcome<PeerState> State = decodeJson(Parameters, decode);
  if (State)
    note(*State);
  return encode(Tell.Describe()).dump();
}

void PeerLink::note(const PeerState &State) {
  {
    std::lock_guard Guard(Lock);
    PeerEntry &Entry = Known[State.Daemon];
    Entry.State = State;
    Entry.HeardAt = steadyNow();
  }
  Tell.Heard(State);
}

Outcome<std::string> PeerLink::call(const DaemonId &Peer,
                                    const std::string &Method,
                                    const std::string &Parameters,
                                    Duration Timeout) {
  bool Sent = false;
  JsonRpcClient Client([&](const std::string &Request, std::string &Response) {
    HttpCall Call;
    Call.Verb = "POST";
    Call.Address = Peer.str();
    Call.Path = "/rpc";
    Call.Body = Request;
    Call.Timeout = Timeout;
    HttpCallResult Answer = Shared.Client.call(Call);
    Sent = Answer.Progress != CallProgress::NotSent;
    Response = std::move(Answer.Body);
    return Answer.succeeded();
  });
  JsonRpcResult Result = Client.call(Method, Parameters);
  if (Result.Ok)
    return std::move(Result.Value);
  Reason Why = Sent ? Reason::OutcomeUnknown : Reason::DomainUnreachable;
  return fail(Why, "daemon " + Peer.str() + ": " + Result.Fault);
}

std::vector<PeerEntry> PeerLink::peers() const {
  std::lock_guard Guard(Lock);
  std::vector<PeerEntry> Result;
  TimePoint Now = steadyNow();
  for (const auto &[Id, Entry] : Known) {
    Result.push_back(Entry);
    bool Near = Entry.State.Domain == Shared.Config.Domain;
    Result.back().Alive =
        !Entry.State.Domain.empty() &&
        Now - Entry.HeardAt < (Near ? SilenceLimit : FarSilenceLimit);
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
