/// \file
/// Defines JsonRpcServer, which dispatches JSON-RPC requests between daemons.
/// It has no listener: a route of the HTTP server passes it the request texts.
/// This header is C++14, because its implementation is compiled as C++14.
#ifndef BANYANWORKS_EDGE_JSONRPCSERVER_H
#define BANYANWORKS_EDGE_JSONRPCSERVER_H

#include <functional>
#include <memory>
#include <string>

namespace banyanworks {

/// Serves named methods; each takes and returns the text of a JSON object.
class JsonRpcServer {
public:
  using Method = std::function<std::string(const std::string &Parameters)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer &) = delete;
  JsonRpcServer &operator=(const JsonRpcServer &) = delete;

  /// Adds a method; call before the first request.
  void add(const std::string &Name, Method Implementation);

  /// Answers the text of one request; may be called from several threads.
  std::string handle(const std::string &Request) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace banyanworks

#endif
