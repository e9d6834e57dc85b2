/// \file
/// Implements AsyncHttpServer. The library is run with its own epoll set, which
/// is one descriptor of the event loop.
#include "edge/AsyncHttpServer.h"

#include "base/Reason.h"
#include "edge/EventLoop.h"
#include "edge/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unordered_map>
#include <utility>

namespace banyanworks {

namespace {

/// Seconds that a connection may be idle before it is closed; longer than the
/// pause between two polls of a caller that waits for a job.
constexpr unsigned IdleTimeoutS = 60;

/// One request from its first line to the end of its response.
struct Exchange {
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  bool TooLarge = false;
  bool Handled = false;
  bool Answered = false;
  bool Suspended = false;
  HttpResponse Response;
};

std::string lower(const char *Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Result;
}

MHD_Result collectHeader(void *Target, MHD_ValueKind, const char *Key,
                         const char *Value) {
  (*static_cast<HttpHeaders *>(Target))[lower(Key)] = Value ? Value : "";
  return MHD_YES;
}

MHD_Result collectVariable(void *Target, MHD_ValueKind, const char *Key,
                           const char *Value) {
  (*static_cast<std::map<std::string, std::string> *>(Target))[Key] =
      Value ? Value : "";
  return MHD_YES;
}

} // namespace

struct AsyncHttpServer::Impl {
  EventLoop &Loop;
  std::uint64_t MaxBody;
  Handler Serve;
  MHD_Daemon *Daemon = nullptr;
  bool Draining = false;
  bool RunWanted = false;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, Exchange> Open;

  Impl(EventLoop &Loop, std::uint64_t MaxBody, Handler Serve)
      : Loop(Loop), MaxBody(MaxBody), Serve(std::move(Serve)) {}

  MHD_Result queue(Exchange &Current) const {
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
    auto Found = Open.find(Id);
    if (Found == Open.end() || Found->second.Answered)
      return;
    Exchange &Current = Found->second;
    Current.Answered = true;
    Current.Response = std::move(Response);
    if (!Current.Suspended)
      return;
    Current.Suspended = false;
    MHD_resume_connection(Current.Connection);
    runSoon();
  }

  void runSoon() {
    if (std::exchange(RunWanted, true))
      return;
    Loop.schedule(Duration::zero(), [this] { run(); });
  }

  void run() {
    RunWanted = false;
    MHD_run(Daemon);
    // The library may hold bytes that it has read and not looked at, for which
    // its epoll set tells nothing any more.
    MHD_UNSIGNED_LONG_LONG Left = 0;
    if (MHD_get_timeout(Daemon, &Left) == MHD_YES && Left == 0)
      runSoon();
  }

  MHD_Result access(MHD_Connection *Connection, const char *Path,
                    const char *Verb, const char *Data, std::size_t *Size,
                    void **Mark) {
    if (!*Mark) {
      std::uint64_t Id = ++LastId;
      Exchange &Current = Open[Id];
      Current.Connection = Connection;
      Current.Request.Verb = Verb;
      Current.Request.Path = Path;
      MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                                &Current.Request.Headers);
      MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND,
                                collectVariable, &Current.Request.Variables);
      *Mark = reinterpret_cast<void *>(Id); // NOLINT
      return MHD_YES;
    }
    auto Id = reinterpret_cast<std::uint64_t>(*Mark); // NOLINT
    Exchange &Current = Open[Id];
    if (*Size > 0) {
      Current.TooLarge |= Current.Request.Body.size() + *Size > MaxBody;
      if (!Current.TooLarge)
        Current.Request.Body.append(Data, *Size);
      *Size = 0;
      return MHD_YES;
    }
    if (Current.Answered)
      return queue(Current);
    if (Current.Handled)
      return MHD_YES;
    Current.Handled = true;
    if (Current.TooLarge) {
      Current.Answered = true;
      Current.Response.Status = reasonInfo(Reason::PayloadTooLarge).HttpStatus;
      return queue(Current);
    }
    Serve(Current.Request, [this, Id](HttpResponse Response) {
      answer(Id, std::move(Response));
    });
    if (Current.Answered)
      return queue(Current);
    Current.Suspended = true;
    MHD_suspend_connection(Connection);
    return MHD_YES;
  }

  static MHD_Result onAccess(void *Context, MHD_Connection *Connection,
                             const char *Path, const char *Verb, const char *,
                             const char *Data, std::size_t *Size, void **Mark) {
    return static_cast<Impl *>(Context)->access(Connection, Path, Verb, Data,
                                                Size, Mark);
  }

  static void onEnd(void *Context, MHD_Connection *, void **Mark,
                    MHD_RequestTerminationCode) {
    static_cast<Impl *>(Context)->Open.erase(
        reinterpret_cast<std::uint64_t>(*Mark)); // NOLINT
    *Mark = nullptr;
  }
};

AsyncHttpServer::AsyncHttpServer(EventLoop &Loop, std::uint64_t MaxBody,
                                 Handler Serve)
    : Self(std::make_unique<Impl>(Loop, MaxBody, std::move(Serve))) {}

AsyncHttpServer::~AsyncHttpServer() {
  if (!Self->Daemon)
    return;
  for (auto &[Id, Current] : Self->Open)
    if (Current.Suspended)
      MHD_resume_connection(Current.Connection);
  MHD_stop_daemon(Self->Daemon);
}

Outcome<void> AsyncHttpServer::start(const std::string &Address,
                                     unsigned MaxConnections) {
  HostPort Where = parseAddress(Address);
  sockaddr_in Listen{};
  Listen.sin_family = AF_INET;
  Listen.sin_port = htons(Where.Port);
  if (Where.Port == 0 ||
      inet_pton(AF_INET, Where.Host.c_str(), &Listen.sin_addr) != 1)
    return fail(Reason::InvalidArgument, "malformed address " + Address);
  Self->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Where.Port, nullptr, nullptr,
      &Impl::onAccess, Self.get(), MHD_OPTION_SOCK_ADDR, &Listen,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::onEnd, Self.get(),
      MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutS, MHD_OPTION_END);
  if (!Self->Daemon)
    return fail(Reason::InvalidArgument, "cannot listen on " + Address);
  int Descriptor =
      MHD_get_daemon_info(Self->Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Self->Loop.watch(Descriptor, true, false,
                   [this](bool, bool) { Self->run(); });
  return {};
}

void AsyncHttpServer::drain() { Self->Draining = true; }

std::uint32_t AsyncHttpServer::inProgress() const {
  return static_cast<std::uint32_t>(Self->Open.size());
}

std::uint32_t AsyncHttpServer::connections() const {
  if (!Self->Daemon)
    return 0;
  return MHD_get_daemon_info(Self->Daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

} // namespace banyanworks
