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
#include <microhttpd.h>
#include <netinet/in.h>
#include <unordered_map>
#include <utility>

namespace banyanworks {

namespace {

/// Seconds after which an idle connection is closed; longer than the interval
/// at which a caller polls a job.
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

} // namespace

struct AsyncHttpServer::Impl {
  EventLoop &Loop;
  std::uint64_t MaxBody;
  Handler HandleRequest;
  MHD_Daemon *Daemon = nullptr;
  bool Draining = false;
  bool RunScheduled = false;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, Exchange> Exchanges;

  Impl(EventLoop &Loop, std::uint64_t MaxBody, Handler HandleRequest)
      : Loop(Loop), MaxBody(MaxBody), HandleRequest(std::move(HandleRequest)) {}

  MHD_Result queueResponse(Exchange &Current) const {
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

  void scheduleRun() {
    if (std::exchange(RunScheduled, true))
      return;
    Loop.schedule(Duration::zero(), [this] { run(); });
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
      return MHD_YES;
    }
    auto Id = reinterpret_cast<std::uint64_t>(*RequestContext); // NOLINT
    Exchange &Current = Exchanges[Id];
    if (*Size > 0) {
      Current.TooLarge |= Current.Request.Body.size() + *Size > MaxBody;
      if (!Current.TooLarge)
        Current.Request.Body.append(Data, *Size);
      *Size = 0;
      return MHD_YES;
    }
    if (Current.Answered)
      return queueResponse(Current);
    if (Current.Handled)
      return MHD_YES;
    Current.Handled = true;
    if (Current.TooLarge) {
      Current.Answered = true;
      Current.Response.Status = reasonInfo(Reason::PayloadTooLarge).HttpStatus;
      return queueResponse(Current);
    }
    HandleRequest(Current.Request, [this, Id](HttpResponse Response) {
      answer(Id, std::move(Response));
    });
    if (Current.Answered)
      return queueResponse(Current);
    Current.Suspended = true;
    MHD_suspend_connection(Connection);
    return MHD_YES;
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
    static_cast<Impl *>(Context)->Exchanges.erase(
        reinterpret_cast<std::uint64_t>(*RequestContext)); // NOLINT
    *RequestContext = nullptr;
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

Outcome<void> AsyncHttpServer::start(const std::string &Address,
                                     unsigned MaxConnections) {
  HostPort ParsedAddress = parseAddress(Address);
  sockaddr_in Listen{};
  Listen.sin_family = AF_INET;
  Listen.sin_port = htons(ParsedAddress.Port);
  if (ParsedAddress.Port == 0 ||
      inet_pton(AF_INET, ParsedAddress.Host.c_str(), &Listen.sin_addr) != 1)
    return fail(Reason::InvalidArgument, "malformed address " + Address);
  Self->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ParsedAddress.Port, nullptr,
      nullptr, &Impl::onAccess, Self.get(), MHD_OPTION_SOCK_ADDR, &Listen,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, Self.get(),
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
  return static_cast<std::uint32_t>(Self->Exchanges.size());
}

std::uint32_t AsyncHttpServer::connections() const {
  if (!Self->Daemon)
    return 0;
  return MHD_get_daemon_info(Self->Daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

} // namespace banyanworks
