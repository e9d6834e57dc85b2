/// \file
/// Defines AsyncHttpClient, which calls HTTP servers from an event loop over
/// kept connections.
#ifndef BANYANWORKS_EDGE_ASYNCHTTPCLIENT_H
#define BANYANWORKS_EDGE_ASYNCHTTPCLIENT_H

#include "edge/Http.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace banyanworks {

class EventLoop;
struct HttpCall;

/// Answers each call once, from the loop, at the latest when its time is over.
class AsyncHttpClient {
public:
  using ResultHandler = std::function<void(HttpCallResult)>;

  /// Keeps at most \p MostIdle connections that carry no exchange.
  AsyncHttpClient(EventLoop &Loop, std::size_t MaxIdle);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  void call(const HttpCall &Call, ResultHandler OnDone);
  /// Connections that are open, with and without an exchange.
  std::size_t connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
