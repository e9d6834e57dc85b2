/// \file
/// Defines ScriptedServer, a fake HTTP server that answers with the bytes that
/// a test specifies.
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

/// The reaction of the server to a request.
struct ScriptedReply {
  /// Sent unchanged; may be empty.
  std::string Bytes;
  /// Closes the connection afterwards.
  bool CloseAfter = false;
};

/// Listens on a free loopback port. A request is complete at the end of its
/// head, so it must have no body or one that arrives in the same segment.
class ScriptedServer {
public:
  using Script = std::function<ScriptedReply(const std::string &Request)>;

  ScriptedServer(EventLoop &Loop, Script Respond);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// "127.0.0.1:port".
  const std::string &address() const { return Address; }
  std::uint32_t accepted() const { return AcceptedCount; }
  std::uint32_t requests() const { return RequestCount; }
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
  std::uint32_t AcceptedCount = 0;
  std::uint32_t RequestCount = 0;
  /// Bytes received of the next request, by socket.
  std::map<int, std::string> PendingRequests;
};

} // namespace banyanworks::testing

#endif
