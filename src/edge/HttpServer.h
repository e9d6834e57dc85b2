/// \file
/// Defines HttpServer, an HTTP server on ulfius. Each connection has a thread
/// of its own, so a handler may block.
#ifndef BANYANWORKS_EDGE_HTTPSERVER_H
#define BANYANWORKS_EDGE_HTTPSERVER_H

#include "base/Error.h"
#include "base/Time.h"
#include "edge/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyanworks {

/// Bytes that a server received and sent in bodies and header lines.
struct HttpTraffic {
  std::uint64_t BytesReceived = 0;
  std::uint64_t BytesSent = 0;
};

/// Serves routes until it is stopped.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Adds a route; call before start(). ":name" in \p Pattern is a variable,
  /// and a trailing "*" matches any rest.
  void route(const std::string &Verb, const std::string &Pattern,
             Handler HandleRequest);

  /// Listens on "host:port". Fails if the address is malformed or taken.
  Outcome<void> start(const std::string &Address, std::uint64_t MaxBody);

  /// Requests whose response has not been sent completely.
  std::uint32_t inProgress() const;

  /// Waits until no request is in progress; false if \p Timeout passes first.
  bool drain(Duration Timeout) const;

  /// Closes the listener and all connections.
  void stop();

  HttpTraffic traffic() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
