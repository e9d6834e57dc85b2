/// \file
/// Implements AsyncHttpServer. libmicrohttpd polls an epoll set of its own,
/// which the event loop watches as one descriptor.
#include "edge/AsyncHttpServer.h"

#include "base/Reason.h"
#include "edge/EventLoop.h"
#include "edge/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <limits>
#include <memory>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace banyanworks {

namespace {

/// Interval at which overdue connections are closed. The library also notices
/// its own timeouts, and room for new connections, only when it is run.
constexpr Duration TickInterval = std::chrono::seconds(1);
/// Memory of the library for one connection, in bytes; limits the head of a
/// request.
constexpr std::size_t ConnectionMemory = 16384;
/// Connections beyond the table's limit that the library accepts, so that it
/// goes on accepting while connections that give way are closed.
constexpr unsigned ClosingConnections = 16;
/// Bytes beyond the limit of a body that are read and dropped before its
/// connection is closed. A caller that is a little over the limit reads its
/// refusal on a connection that stays usable.
constexpr std::uint64_t MaxDroppedBytes = 1 << 20;
/// Memory of a whole request that waits for its response, in multiples of its
/// body. The parsed form of a body of very small steps is that much larger.
constexpr std::uint64_t ParsedSizeFactor = 16;
/// The largest request takes the memory for all requests divided by this.
constexpr std::uint64_t MaxRequestShare = 4;

/// One request from its first line to the end of its response.
struct Exchange {
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  ConnectionId Caller;
  /// Bytes of the body that have arrived.
  std::uint64_t BodyBytes = 0;
  bool TooLarge = false;
  bool Handled = false;
  bool Answered = false;
  bool Suspended = false;
  HttpResponse Response;
};

std::string toLowerCase(const char *Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Result;
}

MHD_Result collectHeader(void *Target, MHD_ValueKind, const char *Key,
                         const char *Value) {
  (*static_cast<HttpHeaders *>(Target))[toLowerCase(Key)] = Value ? Value : "";
  return MHD_YES;
}

MHD_Result collectVariable(void *Target, MHD_ValueKind, const char *Key,
                           const char *Value) {
  (*static_cast<std::map<std::string, std::string> *>(Target))[Key] =
      Value ? Value : "";
  return MHD_YES;
}

/// The length that the head of a request announces for its body; zero if it
/// announces none.
std::uint64_t announcedLength(const HttpRequest &Request) {
  std::string Text = Request.header("content-length");
  std::uint64_t Length = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  // The library rejects malformed lengths; longer numbers are out of range.
  return Parsed.ec == std::errc::result_out_of_range
             ? std::numeric_limits<std::uint64_t>::max()
             : Length;
}

HttpResponse refusal(Reason Cause) {
  const ReasonInfo &Info = reasonInfo(Cause);
  HttpResponse Response;
  Response.Status = Info.HttpStatus;
  Response.Body = "{\"error\":\"" + std::string(Info.Name) + "\"}";
  if (Info.Retryable)
    Response.Headers["Retry-After"] = "1";
  return Response;
}

/// Writes a refusal to a caller that is still sending. The library responds
/// only to requests that have arrived whole. Sends nothing if the caller reads
/// nothing.
void sendRefusal(int Socket, Reason Cause) {
  HttpResponse Response = refusal(Cause);
  std::string Text =
      "HTTP/1.1 " + std::to_string(Response.Status) + ' ' +
      std::string(reasonInfo(Cause).Name) +
      "\r\nContent-Type: " + Response.ContentType +
      "\r\nContent-Length: " + std::to_string(Response.Body.size()) +
      "\r\nConnection: close\r\n";
  for (const auto &[Name, Value] : Response.Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text.append("\r\n").append(Response.Body);
  send(Socket, Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

struct AsyncHttpServer::Impl {
  /// What the server knows of a connection beside the table.
  struct ConnectionState {
    int Socket = -1;
    /// The last exchange on the connection.
    std::uint64_t Exchange = 0;
  };

  EventLoop &Loop;
  std::uint64_t MaxBody;
  Handler HandleRequest;
  MHD_Daemon *Daemon = nullptr;
  bool Draining = false;
  bool RunScheduled = false;
  std::uint64_t LastId = 0;
  std::uint64_t LastConnection = 0;
  std::unordered_map<std::uint64_t, Exchange> Exchanges;
  /// All connections of the library. Those that are not in the table have been
  /// shut down, and the library will remove them.
  std::unordered_map<ConnectionId, ConnectionState> Connections;
  ConnectionLimits Limits;
  ConnectionTable Table{ConnectionLimits()};
  ClosureObserver ObserveClosure;
  /// Expires with the server; timers of the loop may outlive it.
  std::shared_ptr<Impl *> Self = std::make_shared<Impl *>(this);

  Impl(EventLoop &Loop, std::uint64_t MaxBody, Handler HandleRequest)
      : Loop(Loop), MaxBody(MaxBody), HandleRequest(std::move(HandleRequest)) {}

  void setActivity(ConnectionId Id, ConnectionActivity Activity) {
    Table.setActivity(Id, Activity, Loop.now());
  }

  /// Closes a connection that gives way. A caller that is sending a request
  /// gets its refusal before.
  void closeConnection(ConnectionId Id, Reason Cause) {
    const ConnectionState &Closed = Connections.at(Id);
    auto Current = Exchanges.find(Closed.Exchange);
    Closure Report{Cause, Table.activity(Id), 0, Loop.now() - Table.since(Id)};
    if (Current != Exchanges.end())
      Report.Bytes = Current->second.BodyBytes;
    Table.remove(Id);
    if (ObserveClosure)
      ObserveClosure(Report);
    if (Report.Activity == ConnectionActivity::Receiving) {
      sendRefusal(Closed.Socket, Cause);
      if (Current != Exchanges.end())
        std::string().swap(Current->second.Request.Body);
    }
    // The library finds the connection at its end when it is run.
    shutdown(Closed.Socket, SHUT_RDWR);
    scheduleRun();
  }

  void closeForRoom() {
    while (auto Victim = Table.connectionVictim(Loop.now()))
      closeConnection(*Victim, Reason::EntryOverloaded);
  }

  /// Reserves memory for a request; closes older ones that have not arrived
  /// whole if there is not enough. False if the request itself has to give way.
  bool reserve(ConnectionId Id, std::uint64_t Bytes) {
    while (!Table.setBytes(Id, Bytes)) {
      auto Victim = Table.byteVictim();
      if (!Victim || *Victim == Id)
        return false;
      closeConnection(*Victim, Reason::EntryOverloaded);
    }
    return true;
  }

  MHD_Result queueResponse(Exchange &Current) {
    setActivity(Current.Caller, ConnectionActivity::Responding);
    const HttpResponse &Out = Current.Response;
    MHD_Response *Response = MHD_create_response_from_buffer(
        Out.Body.size(), const_cast<char *>(Out.Body.data()), // NOLINT
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(Response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            Out.ContentType.c_str());
    for (const auto &[Name, Value] : Out.Headers)
      MHD_add_response_header(Response, Name.c_str(), Value.c_str());
    if (Draining)
      MHD_add_response_header(Response, MHD_HTTP_HEADER_CONNECTION, "close");
    MHD_Result Result = MHD_queue_response(
        Current.Connection, static_cast<unsigned>(Out.Status), Response);
    MHD_destroy_response(Response);
    return Result;
  }

  void answer(std::uint64_t Id, HttpResponse Response) {
    auto Found = Exchanges.find(Id);
    if (Found == Exchanges.end() || Found->second.Answered)
      return;
    Exchange &Current = Found->second;
    Current.Answered = true;
    Current.Response = std::move(Response);
    if (!Current.Suspended)
      return;
    Current.Suspended = false;
    MHD_resume_connection(Current.Connection);
    scheduleRun();
  }

  /// Schedules \p Work, which is dropped if the server is gone by then.
  void schedule(Duration Delay, std::function<void()> Work) {
    Loop.schedule(Delay, [Alive = std::weak_ptr(Self), Work = std::move(Work)] {
      if (Alive.lock())
        Work();
    });
  }

  void scheduleRun() {
    if (std::exchange(RunScheduled, true))
      return;
    schedule(Duration::zero(), [this] { run(); });
  }

  void tick() {
    for (ConnectionId Id : Table.overdue(Loop.now())) {
      bool IsIdle = Table.activity(Id) == ConnectionActivity::Idle;
      closeConnection(Id, IsIdle ? Reason::None : Reason::RequestIncomplete);
    }
    run();
    schedule(TickInterval, [this] { tick(); });
  }

  void run() {
    RunScheduled = false;
    MHD_run(Daemon);
    // The library may hold bytes that it has read but not processed, for which
    // its epoll set reports no further event.
    MHD_UNSIGNED_LONG_LONG TimeoutMs = 0;
    if (MHD_get_timeout(Daemon, &TimeoutMs) == MHD_YES && TimeoutMs == 0)
      scheduleRun();
  }

  MHD_Result handleAccess(MHD_Connection *Connection, const char *Path,
                          const char *Verb, const char *Data, std::size_t *Size,
                          void **RequestContext) {
    if (!*RequestContext) {
      std::uint64_t Id = ++LastId;
      Exchange &Current = Exchanges[Id];
      Current.Connection = Connection;
      Current.Request.Verb = Verb;
      Current.Request.Path = Path;
      MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                                &Current.Request.Headers);
      MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND,
                                collectVariable, &Current.Request.Variables);
      *RequestContext = reinterpret_cast<void *>(Id); // NOLINT
      return beginRequest(Id, Current);
    }
    auto Id = reinterpret_cast<std::uint64_t>(*RequestContext); // NOLINT
    Exchange &Current = Exchanges[Id];
    // Bytes of a request that was refused may still be in the socket.
    if (!Table.contains(Current.Caller))
      return MHD_NO;
    if (*Size > 0) {
      std::size_t Arrived = std::exchange(*Size, 0);
      return receiveBody(Current, {Data, Arrived});
    }
    if (Current.Answered)
      return queueResponse(Current);
    if (Current.Handled)
      return MHD_YES;
    Current.Handled = true;
    if (Current.TooLarge)
      return refuse(Current, Reason::PayloadTooLarge);
    if (!reserve(Current.Caller, waitingBytes(Current.BodyBytes)))
      return refuse(Current, Reason::EntryOverloaded);
    setActivity(Current.Caller, ConnectionActivity::Waiting);
    HandleRequest(Current.Request, [this, Id](HttpResponse Response) {
      answer(Id, std::move(Response));
    });
    Current.Request = HttpRequest();
    if (Current.Answered)
      return queueResponse(Current);
    Current.Suspended = true;
    MHD_suspend_connection(Connection);
    return MHD_YES;
  }

  /// Handles the head of a request.
  MHD_Result beginRequest(std::uint64_t Id, Exchange &Current) {
    Current.Caller = connectionOf(Current.Connection);
    if (!Table.contains(Current.Caller))
      return MHD_NO;
    Connections.at(Current.Caller).Exchange = Id;
    setActivity(Current.Caller, ConnectionActivity::Receiving);
    std::uint64_t Length = announcedLength(Current.Request);
    Current.TooLarge = Length > MaxBody;
    // The library closes the connection after a response to a head.
    if (Length > MaxBody && Length - MaxBody > MaxDroppedBytes)
      return refuse(Current, Reason::PayloadTooLarge);
    return MHD_YES;
  }

  /// Keeps a part of a body, or drops it if the body is over the limit.
  MHD_Result receiveBody(Exchange &Current, std::string_view Part) {
    Current.BodyBytes += Part.size();
    std::string &Body = Current.Request.Body;
    if (!Current.TooLarge && Current.BodyBytes > MaxBody) {
      Current.TooLarge = true;
      std::string().swap(Body);
      Table.setBytes(Current.Caller, 0);
    }
    Reason Refusal = Reason::None;
    if (Current.TooLarge) {
      if (Current.BodyBytes > MaxBody + MaxDroppedBytes)
        Refusal = Reason::PayloadTooLarge;
    } else {
      std::uint64_t Capacity = bodyCapacity(Body, Current.BodyBytes);
      if (reserve(Current.Caller, Capacity)) {
        Body.reserve(Capacity);
        Body.append(Part);
      } else {
        Refusal = Reason::EntryOverloaded;
      }
    }
    if (Refusal == Reason::None)
      return MHD_YES;
    closeConnection(Current.Caller, Refusal);
    return MHD_NO;
  }

  /// The capacity of a body that has grown to \p Size bytes. It is doubled at a
  /// time, up to the limit.
  std::uint64_t bodyCapacity(const std::string &Body,
                             std::uint64_t Size) const {
    if (Size <= Body.capacity())
      return Body.capacity();
    return std::clamp<std::uint64_t>(2 * Body.capacity(), Size,
                                     std::max(Size, MaxBody));
  }

  /// Memory of a whole request that waits for its response, in bytes. Even the
  /// largest one leaves room for others.
  std::uint64_t waitingBytes(std::uint64_t BodyBytes) const {
    std::uint64_t Most =
        std::max(BodyBytes, Limits.MaxRequestBytes / MaxRequestShare);
    return std::min(BodyBytes * ParsedSizeFactor, Most);
  }

  MHD_Result refuse(Exchange &Current, Reason Cause) {
    Current.Handled = true;
    Current.Answered = true;
    Current.Response = refusal(Cause);
    return queueResponse(Current);
  }

  static ConnectionId connectionOf(MHD_Connection *Connection) {
    const MHD_ConnectionInfo *Info =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return ConnectionId(
        Info ? reinterpret_cast<std::uint64_t>(Info->socket_context) // NOLINT
             : 0);
  }

  void connectionOpened(MHD_Connection *Connection, void **SocketContext) {
    ConnectionId Id(++LastConnection);
    *SocketContext = reinterpret_cast<void *>(Id.value()); // NOLINT
    Connections[Id].Socket =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    Table.add(Id, Loop.now());
    closeForRoom();
  }

  void connectionClosed(void **SocketContext) {
    ConnectionId Id(reinterpret_cast<std::uint64_t>(*SocketContext)); // NOLINT
    Connections.erase(Id);
    Table.remove(Id);
  }

  static void onConnection(void *Context, MHD_Connection *Connection,
                           void **SocketContext,
                           MHD_ConnectionNotificationCode Event) {
    auto *Server = static_cast<Impl *>(Context);
    if (Event == MHD_CONNECTION_NOTIFY_STARTED)
      Server->connectionOpened(Connection, SocketContext);
    else
      Server->connectionClosed(SocketContext);
  }

  static MHD_Result onAccess(void *Context, MHD_Connection *Connection,
                             const char *Path, const char *Verb, const char *,
                             const char *Data, std::size_t *Size,
                             void **RequestContext) {
    return static_cast<Impl *>(Context)->handleAccess(
        Connection, Path, Verb, Data, Size, RequestContext);
  }

  static void onCompleted(void *Context, MHD_Connection *,
                          void **RequestContext, MHD_RequestTerminationCode) {
    auto *Server = static_cast<Impl *>(Context);
    auto Found = Server->Exchanges.find(
        reinterpret_cast<std::uint64_t>(*RequestContext)); // NOLINT
    *RequestContext = nullptr;
    if (Found == Server->Exchanges.end())
      return;
    Server->setActivity(Found->second.Caller, ConnectionActivity::Idle);
    Server->Exchanges.erase(Found);
  }
};

AsyncHttpServer::AsyncHttpServer(EventLoop &Loop, std::uint64_t MaxBody,
                                 Handler HandleRequest)
    : Self(std::make_unique<Impl>(Loop, MaxBody, std::move(HandleRequest))) {}

void AsyncHttpServer::setMaxBody(std::uint64_t Bytes) { Self->MaxBody = Bytes; }

AsyncHttpServer::~AsyncHttpServer() {
  if (!Self->Daemon)
    return;
  for (auto &[Id, Current] : Self->Exchanges)
    if (Current.Suspended)
      MHD_resume_connection(Current.Connection);
  MHD_stop_daemon(Self->Daemon);
}

void AsyncHttpServer::onClosure(ClosureObserver Callback) {
  Self->ObserveClosure = std::move(Callback);
}

Outcome<void> AsyncHttpServer::start(const std::string &Address,
                                     const ConnectionLimits &Limits) {
  HostPort ParsedAddress = parseAddress(Address);
  sockaddr_in Listen{};
  Listen.sin_family = AF_INET;
  Listen.sin_port = htons(ParsedAddress.Port);
  if (ParsedAddress.Port == 0 ||
      inet_pton(AF_INET, ParsedAddress.Host.c_str(), &Listen.sin_addr) != 1)
    return fail(Reason::InvalidArgument, "malformed address " + Address);
  Self->Limits = Limits;
  Self->Table = ConnectionTable(Limits);
  Self->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ParsedAddress.Port, nullptr,
      nullptr, &Impl::onAccess, Self.get(), MHD_OPTION_SOCK_ADDR, &Listen,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, Self.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, Self.get(),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemory,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(Limits.MaxConnections) + ClosingConnections,
      MHD_OPTION_END);
  if (!Self->Daemon)
    return fail(Reason::InvalidArgument, "cannot listen on " + Address);
  int Descriptor =
      MHD_get_daemon_info(Self->Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Self->Loop.watch(Descriptor, true, false,
                   [this](bool, bool) { Self->run(); });
  Self->tick();
  return {};
}

void AsyncHttpServer::drain() { Self->Draining = true; }

std::uint32_t AsyncHttpServer::inProgress() const {
  return static_cast<std::uint32_t>(Self->Exchanges.size());
}

std::uint64_t AsyncHttpServer::requestBytes() const {
  return Self->Table.totalBytes();
}

std::uint32_t AsyncHttpServer::connections() const {
  if (!Self->Daemon)
    return 0;
  return MHD_get_daemon_info(Self->Daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

} // namespace banyanworks
