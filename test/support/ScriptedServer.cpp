/// \file
/// Implements ScriptedServer.
#include "support/ScriptedServer.h"

#include "base/Check.h"
#include "edge/EventLoop.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace banyanworks::testing {

ScriptedServer::ScriptedServer(EventLoop &Loop, Script Answer)
    : Loop(Loop), Answer(std::move(Answer)),
      Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Where);
  auto *Any = reinterpret_cast<sockaddr *>(&Where); // NOLINT
  BANYANWORKS_CHECK(bind(Listener, Any, Size) == 0, "no free port");
  BANYANWORKS_CHECK(listen(Listener, SOMAXCONN) == 0, "cannot listen");
  getsockname(Listener, Any, &Size);
  Address = "127.0.0.1:" + std::to_string(ntohs(Where.sin_port));
  Loop.watch(Listener, true, false, [this](bool, bool) { accept(); });
}

ScriptedServer::~ScriptedServer() {
  closeConnections();
  Loop.unwatch(Listener);
  close(Listener);
}

void ScriptedServer::accept() {
  int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Socket < 0)
    return;
  ++Accepted;
  Open[Socket];
  Loop.watch(Socket, true, false, [this, Socket](bool, bool) { read(Socket); });
}

void ScriptedServer::read(int Socket) {
  std::array<char, 4096> Buffer{};
  ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0) {
    drop(Socket);
    return;
  }
  std::string &Request = Open[Socket];
  Request.append(Buffer.data(), static_cast<std::size_t>(Count));
  if (Request.find("\r\n\r\n") == std::string::npos)
    return;
  ++Requests;
  ScriptedReply Reply = Answer(std::exchange(Request, {}));
  if (!Reply.Bytes.empty())
    send(Socket, Reply.Bytes.data(), Reply.Bytes.size(), MSG_NOSIGNAL);
  if (Reply.Closes)
    drop(Socket);
}

void ScriptedServer::drop(int Socket) {
  Loop.unwatch(Socket);
  close(Socket);
  Open.erase(Socket);
}

void ScriptedServer::closeConnections() {
  std::vector<int> All;
  for (const auto &Entry : Open)
    All.push_back(Entry.first);
  for (int Socket : All)
    drop(Socket);
}

} // namespace banyanworks::testing
