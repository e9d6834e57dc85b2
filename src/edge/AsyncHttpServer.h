/// \file
/// Defines AsyncHttpServer, an HTTP server on libmicrohttpd that runs in an
/// event loop and supports deferred responses.
#ifndef BANYANWORKS_EDGE_ASYNCHTTPSERVER_H
#define BANYANWORKS_EDGE_ASYNCHTTPSERVER_H

#include "base/Error.h"
#include "base/Reason.h"
#include "edge/ConnectionTable.h"
#include "edge/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyanworks {

class EventLoop;

/// Serves one address. All members are called from the loop's thread.
class AsyncHttpServer {
public:
  /// Sends the response. Called once, within the handler or later; has no
  /// effect if the caller has disconnected.
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(const HttpRequest &, Reply)>;
  /// A connection that the server has closed on its own account.
  struct Closure {
    Reason Cause = Reason::None;
    ConnectionActivity Activity = ConnectionActivity::New;
    /// Bytes of the request's body that had arrived, and the time since the
    /// activity began.
    std::uint64_t Bytes = 0;
    Duration Age{};
  };
  using ClosureObserver = std::function<void(const Closure &)>;

  AsyncHttpServer(EventLoop &Loop, std::uint64_t MaxBody,
                  Handler HandleRequest);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// Changes the limit on the body of requests that arrive from now on, in
  /// bytes.
  void setMaxBody(std::uint64_t Bytes);
  /// Sets the observer of the connections that are closed to keep the limits.
  void onClosure(ClosureObserver Callback);
  /// Listens on "host:port". Fails if the address is malformed or taken.
  ///
  /// A request beyond the limits is answered with PayloadTooLarge, with
  /// RequestIncomplete after its transfer time, or with EntryOverloaded if it
  /// gives way to others; the connection is closed if the request has not
  /// arrived whole.
  Outcome<void> start(const std::string &Address,
                      const ConnectionLimits &Limits);
  /// Asks callers to close their connections after the next response.
  void drain();
  /// Requests whose response has not been sent completely.
  std::uint32_t inProgress() const;
  std::uint32_t connections() const;
  /// Memory of the requests that are being received or wait for their response.
  std::uint64_t requestBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
