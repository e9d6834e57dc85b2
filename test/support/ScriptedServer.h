/// \file
/// Defines ScriptedServer, a fake HTTP server that answers with the bytes that
/// a test specifies.
#ifndef BANYANWORKS_TEST_SUPPORT_SCRIPTEDSERVER_H
#define BANYANWORKS_TEST_SUPPORT_SCRIPTEDSERVER_H

#include "base/Time.h"

#include <cstddef>
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
  /// Sends the bytes in parts of this size, one each PartInterval, as a slow
  /// link delivers them; zero sends them at once.
  std::size_t PartSize = 0;
  Duration PartInterval{};
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
  /// Sends the next part of the reply on connection number \p Connection.
  void sendPart(int Socket, std::uint32_t Connection,
                const ScriptedReply &Reply, std::size_t Offset);

  EventLoop &Loop;
  Script Respond;
  int Listener;
  std::string Address;
  std::uint32_t AcceptedCount = 0;
  std::uint32_t RequestCount = 0;
  struct ConnectionState {
    /// Distinguishes connections that have used the same descriptor.
    std::uint32_t Number = 0;
    /// Bytes received of the next request.
    std::string Request;
  };
  std::map<int, ConnectionState> Connections;
};

} // namespace banyanworks::testing

#endif
