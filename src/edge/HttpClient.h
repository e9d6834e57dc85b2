/// \file
/// Defines HttpClient, which calls HTTP servers over persistent connections and
/// reports how far each call got.
#ifndef BANYANWORKS_EDGE_HTTPCLIENT_H
#define BANYANWORKS_EDGE_HTTPCLIENT_H

#include "base/Time.h"
#include "edge/Http.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyanworks {

/// One call to a server.
struct HttpCall {
  std::string Verb = "GET";
  /// "host:port".
  std::string Address;
  /// Path and query.
  std::string Path;
  HttpHeaders Headers;
  std::string Body;
  /// Applies to the whole call unless \ref MaxStall is set.
  Duration Timeout = std::chrono::seconds(5);
  /// If positive, \ref Timeout ends the call only while no byte of the answer
  /// has arrived. An answer that arrives may take up to \ref MaxDuration, as
  /// long as no gap between its bytes exceeds this time. For answers whose size
  /// is not bounded. HttpClient ignores it.
  Duration MaxStall{};
  /// Limit on the whole call if \ref MaxStall is set.
  Duration MaxDuration = std::chrono::minutes(1);
  /// Called whenever a part of an answer with status 200 arrives that does not
  /// complete it; may be empty. HttpClient ignores it.
  std::function<void()> OnArrival;
  /// False if the request must not be sent twice. Such a call uses a new
  /// connection, because libcurl resends a request by itself when a reused
  /// connection turns out to be closed.
  bool Repeatable = true;
  /// True if a call fails without an answer when its reused connection turns
  /// out to be closed; otherwise it is sent again.
  bool SendOnce = false;
};

/// Calls HTTP servers; may be used from several threads at once.
class HttpClient {
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  HttpCallResult call(const HttpCall &Call);

  /// Aborts calls in progress within about a second, and all later calls.
  void abort();

  /// Bytes sent and received over all calls, headers included.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
