/// \file
/// Defines AsyncHttpClient, which calls HTTP servers from an event loop over
/// persistent connections.
#ifndef BANYANWORKS_EDGE_ASYNCHTTPCLIENT_H
#define BANYANWORKS_EDGE_ASYNCHTTPCLIENT_H

#include "edge/Http.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace banyanworks {

class EventLoop;
struct HttpCall;

/// Reports the result of each call once, from the loop, at the latest when the
/// call times out.
class AsyncHttpClient {
public:
  using ResultHandler = std::function<void(HttpCallResult)>;

  /// Keeps at most \p MaxIdle idle connections.
  AsyncHttpClient(EventLoop &Loop, std::size_t MaxIdle);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  void call(const HttpCall &Call, ResultHandler OnDone);
  /// Open connections, idle and in use.
  std::size_t connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
