/// \file
/// Defines ScriptedServer, a stand-in for an HTTP server that answers with
/// whatever bytes a test asks for.
#ifndef BANYANWORKS_TEST_SUPPORT_SCRIPTEDSERVER_H
#define BANYANWORKS_TEST_SUPPORT_SCRIPTEDSERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace banyanworks {
class EventLoop;
} // namespace banyanworks

namespace banyanworks::testing {

/// What the server does on a request.
struct ScriptedReply {
  /// Sent as they are.
  std::string Bytes;
  /// Closes the connection afterwards.
  bool CloseAfter = false;
};

/// Listens on a free loopback port. Requests are told apart by the end of their
/// head: scripts are for requests without a body, or with one that comes in the
/// same segment.
class ScriptedServer {
public:
  using Script = std::function<ScriptedReply(const std::string &Request)>;

  ScriptedServer(EventLoop &Loop, Script Respond);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// "127.0.0.1:port".
  const std::string &address() const { return Address; }
  std::uint32_t accepted() const { return Accepted; }
  std::uint32_t requests() const { return Requests; }
  /// Closes all connections; new ones are accepted.
  void closeConnections();

private:
  void onConnect();
  void onReadable(int Socket);
  void closeConnection(int Socket);

  EventLoop &Loop;
  Script Respond;
  int Listener;
  std::string Address;
  std::uint32_t Accepted = 0;
  std::uint32_t Requests = 0;
  /// What each connection has sent of its next request.
  std::map<int, std::string> PendingRequests;
};

} // namespace banyanworks::testing

#endif
