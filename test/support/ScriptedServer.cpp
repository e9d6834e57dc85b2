/// \file
/// Implements ScriptedServer.
#include "support/ScriptedServer.h"

#include "base/Check.h"
#include "edge/EventLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace banyanworks::testing {

ScriptedServer::ScriptedServer(EventLoop &Loop, Script Respond)
    : Loop(Loop), Respond(std::move(Respond)),
      Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in BoundAddress{};
  BoundAddress.sin_family = AF_INET;
  BoundAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(BoundAddress);
  auto *GenericAddress = reinterpret_cast<sockaddr *>(&BoundAddress); // NOLINT
  BANYANWORKS_CHECK(bind(Listener, GenericAddress, Size) == 0, "no free port");
  BANYANWORKS_CHECK(listen(Listener, SOMAXCONN) == 0, "cannot listen");
  getsockname(Listener, GenericAddress, &Size);
  Address = "127.0.0.1:" + std::to_string(ntohs(BoundAddress.sin_port));
  Loop.watch(Listener, true, false, [this](bool, bool) { onConnect(); });
}

ScriptedServer::~ScriptedServer() {
  closeConnections();
  Loop.unwatch(Listener);
  close(Listener);
}

void ScriptedServer::onConnect() {
  int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Socket < 0)
    return;
  Connections[Socket].Number = ++AcceptedCount;
  Loop.watch(Socket, true, false,
             [this, Socket](bool, bool) { onReadable(Socket); });
}

void ScriptedServer::onReadable(int Socket) {
  std::array<char, 4096> Buffer{};
  ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0) {
    closeConnection(Socket);
    return;
  }
  ConnectionState &Connection = Connections[Socket];
  std::string &Request = Connection.Request;
  Request.append(Buffer.data(), static_cast<std::size_t>(Count));
  if (Request.find("\r\n\r\n") == std::string::npos)
    return;
  ++RequestCount;
  ScriptedReply Reply = Respond(std::exchange(Request, {}));
  if (Reply.PartSize > 0) {
    sendPart(Socket, Connection.Number, Reply, 0);
    return;
  }
  if (!Reply.Bytes.empty())
    send(Socket, Reply.Bytes.data(), Reply.Bytes.size(), MSG_NOSIGNAL);
  if (Reply.CloseAfter)
    closeConnection(Socket);
}

void ScriptedServer::sendPart(int Socket, std::uint32_t Connection,
                              const ScriptedReply &Reply, std::size_t Offset) {
  auto Found = Connections.find(Socket);
  if (Found == Connections.end() || Found->second.Number != Connection)
    return;
  std::size_t Size = std::min(Reply.PartSize, Reply.Bytes.size() - Offset);
  send(Socket, Reply.Bytes.data() + Offset, Size, MSG_NOSIGNAL);
  Offset += Size;
  if (Offset < Reply.Bytes.size()) {
    Loop.schedule(Reply.PartInterval,
                  [=, this] { sendPart(Socket, Connection, Reply, Offset); });
  } else if (Reply.CloseAfter) {
    closeConnection(Socket);
  }
}

void ScriptedServer::closeConnection(int Socket) {
  Loop.unwatch(Socket);
  close(Socket);
  Connections.erase(Socket);
}

void ScriptedServer::closeConnections() {
  std::vector<int> All;
  for (const auto &Entry : Connections)
    All.push_back(Entry.first);
  for (int Socket : All)
    closeConnection(Socket);
}

} // namespace banyanworks::testing
