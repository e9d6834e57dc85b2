/// \file
/// Implements HttpServer on ulfius.
#include "edge/HttpServer.h"

#include "base/Reason.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <deque>
#include <thread>

#include <ulfius.h>

namespace banyanworks {

namespace {

constexpr unsigned IdleTimeoutSeconds = 75;
/// Estimated size of the first line of a request or response, which is not
/// measured.
constexpr std::uint64_t FirstLineBytes = 64;
constexpr auto DrainPoll = std::chrono::milliseconds(5);

std::string toLowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

std::map<std::string, std::string> copyMap(const struct _u_map *Source,
                                           bool LowerKeys) {
  std::map<std::string, std::string> Result;
  if (!Source)
    return Result;
  const char **Keys = u_map_enum_keys(Source);
  for (int Index = 0; Keys && Keys[Index]; ++Index) {
    const char *Value = u_map_get(Source, Keys[Index]);
    std::string Key = LowerKeys ? toLowerCase(Keys[Index]) : Keys[Index];
    Result[std::move(Key)] = Value ? Value : "";
  }
  return Result;
}

HttpRequest convert(const struct _u_request &Source) {
  HttpRequest Request;
  Request.Verb = Source.http_verb ? Source.http_verb : "";
  Request.Path = Source.url_path ? Source.url_path : "";
  Request.Variables = copyMap(Source.map_url, false);
  Request.Headers = copyMap(Source.map_header, true);
  if (Source.binary_body_length)
    Request.Body.assign(static_cast<const char *>(Source.binary_body),
                        Source.binary_body_length);
  return Request;
}

std::uint64_t headerBytes(const HttpHeaders &Headers) {
  std::uint64_t Sum = FirstLineBytes;
  for (const auto &[Name, Value] : Headers)
    Sum += Name.size() + Value.size() + 4;
  return Sum;
}

} // namespace

struct HttpServer::Impl {
  struct Route {
    Impl *Owner;
    std::string Verb;
    std::string Pattern;
    Handler HandleRequest;
  };

  struct _u_instance Instance {};
  bool Running = false;
  std::deque<Route> Routes;
  std::atomic<std::uint32_t> InProgress = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> BytesSent = 0;

  static int handleRequest(const struct _u_request *Request,
                           struct _u_response *Response, void *Data);
  static void onRequestCompleted(void *Owner, struct MHD_Connection *Connection,
                                 void **State,
                                 enum MHD_RequestTerminationCode Code);
  static void *onRequestStarted(void *Owner, const char *Uri);
};

int HttpServer::Impl::handleRequest(const struct _u_request *Request,
                                    struct _u_response *Response, void *Data) {
  auto *TargetRoute = static_cast<Route *>(Data);
  HttpRequest ReceivedRequest = convert(*Request);
  Impl &Owner = *TargetRoute->Owner;
  Owner.BytesReceived +=
      headerBytes(ReceivedRequest.Headers) + ReceivedRequest.Body.size();
  HttpResponse Answer;
  try {
    Answer = TargetRoute->HandleRequest(ReceivedRequest);
  } catch (const std::exception &Fault) {
    Answer = {500, Fault.what(), "text/plain", {}};
  }
  Owner.BytesSent += headerBytes(Answer.Headers) + Answer.Body.size();
  ulfius_set_binary_body_response(Response, Answer.Status, Answer.Body.data(),
                                  Answer.Body.size());
  u_map_put(Response->map_header, "Content-Type", Answer.ContentType.c_str());
  for (const auto &[Name, Value] : Answer.Headers)
    u_map_put(Response->map_header, Name.c_str(), Value.c_str());
  return U_CALLBACK_COMPLETE;
}

/// Called by libmicrohttpd once the first line of a request was read.
void *HttpServer::Impl::onRequestStarted(void *Owner, const char *Uri) {
  ++static_cast<Impl *>(Owner)->InProgress;
  return ulfius_uri_logger(nullptr, Uri);
}

/// Called by libmicrohttpd once a response was sent or its connection closed.
void HttpServer::Impl::onRequestCompleted(
    void *Owner, struct MHD_Connection *Connection, void **State,
    enum MHD_RequestTerminationCode Code) {
  auto *Server = static_cast<Impl *>(Owner);
  mhd_request_completed(&Server->Instance, Connection, State, Code);
  --Server->InProgress;
}

HttpServer::HttpServer() : Self(std::make_unique<Impl>()) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::route(const std::string &Verb, const std::string &Pattern,
                       Handler HandleRequest) {
  Self->Routes.push_back({Self.get(), Verb, Pattern, std::move(HandleRequest)});
}

Outcome<void> HttpServer::start(const std::string &Address,
                                std::uint64_t MaxBody) {
  HostPort ParsedAddress = parseAddress(Address);
  struct sockaddr_in BoundAddress {};
  BoundAddress.sin_family = AF_INET;
  BoundAddress.sin_port = htons(ParsedAddress.Port);
  if (ParsedAddress.Port == 0 || inet_pton(AF_INET, ParsedAddress.Host.c_str(),
                                           &BoundAddress.sin_addr) != 1) {
    return fail(Reason::InvalidArgument,
                "'" + Address +
                    "' is not an address of the form 127.0.0.1:8080");
  }
  if (ulfius_init_instance(&Self->Instance, ParsedAddress.Port, &BoundAddress,
                           nullptr) != U_OK)
    return fail(std::make_error_code(std::errc::not_enough_memory),
                "cannot initialize the HTTP server");
  Self->Instance.max_post_body_size = MaxBody;
  Self->Instance.allowed_post_processor = U_POST_PROCESS_NONE;
  for (Impl::Route &EachRoute : Self->Routes) {
    ulfius_add_endpoint_by_val(&Self->Instance, EachRoute.Verb.c_str(), nullptr,
                               EachRoute.Pattern.c_str(), 0,
                               &Impl::handleRequest, &EachRoute);
  }
  struct MHD_OptionItem Options[] = {
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<std::intptr_t>(&Impl::onRequestCompleted), Self.get()},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<std::intptr_t>(&Impl::onRequestStarted), Self.get()},
      {MHD_OPTION_SOCK_ADDR, 0, &BoundAddress},
      {MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds, nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  if (ulfius_start_framework_with_mhd_options(&Self->Instance, Flags,
                                              Options) != U_OK) {
    ulfius_clean_instance(&Self->Instance);
    return fail(std::make_error_code(std::errc::address_in_use),
                "cannot listen on " + Address + "; is the port taken?");
  }
  Self->Running = true;
  return {};
}

std::uint32_t HttpServer::inProgress() const { return Self->InProgress; }

bool HttpServer::drain(Duration Timeout) const {
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (Self->InProgress > 0) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(DrainPoll);
  }
  return true;
}

void HttpServer::stop() {
  if (!Self->Running)
    return;
  Self->Running = false;
  ulfius_stop_framework(&Self->Instance);
  ulfius_clean_instance(&Self->Instance);
}

HttpTraffic HttpServer::traffic() const {
  return {Self->BytesReceived, Self->BytesSent};
}

} // namespace banyanworks
