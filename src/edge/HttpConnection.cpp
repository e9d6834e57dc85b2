/// \file
/// Implements HttpConnection on a socket and the library's parser.
#include "edge/HttpConnection.h"

#include "edge/EventLoop.h"

#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace banyanworks {

namespace {

/// Bytes that are read at once; most answers are below it.
constexpr std::size_t ReadSize = 16384;

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, std::string Address,
                               Listener Changed)
    : Loop(Loop), Address(std::move(Address)), Changed(std::move(Changed)) {}

HttpConnection::~HttpConnection() {
  if (Socket < 0)
    return;
  Loop.unwatch(Socket);
  close(Socket);
}

bool HttpConnection::open() {
  HostPort Where = parseAddress(Address);
  sockaddr_in Server{};
  Server.sin_family = AF_INET;
  Server.sin_port = htons(Where.Port);
  if (Where.Port == 0 ||
      inet_pton(AF_INET, Where.Host.c_str(), &Server.sin_addr) != 1) {
    Answer.Fault = "malformed address";
    return false;
  }
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0) {
    Answer.Fault = std::strerror(errno);
    return false;
  }
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Server), // NOLINT
              sizeof(Server)) != 0 &&
      errno != EINPROGRESS) {
    Answer.Fault = std::strerror(errno);
    return false;
  }
  WatchesWrite = true;
  watch();
  return true;
}

void HttpConnection::watch() {
  Loop.watch(Socket, true, WatchesWrite, [this](bool Readable, bool Writable) {
    ready(Readable, Writable);
  });
}

void HttpConnection::beginAnswer() {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  Answer = HttpAnswer();
  Complete = false;
  AnswerBegan = false;
  LengthKnown = false;
  HeaderName.clear();
  NameGrows = false;
}

void HttpConnection::send(std::string Request) {
  beginAnswer();
  Busy = true;
  Out = std::move(Request);
  Sent = 0;
  if (Connected)
    flush();
}

void HttpConnection::flush() {
  while (Sent < Out.size()) {
    ssize_t Count =
        ::send(Socket, Out.data() + Sent, Out.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    Sent += static_cast<std::size_t>(Count);
  }
  // A broken connection shows as readable; the loop reports it from there.
  bool Wanted = Sent < Out.size() && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (std::exchange(WatchesWrite, Wanted) != Wanted)
    watch();
}

void HttpConnection::ready(bool Readable, bool Writable) {
  if (!Connected && Writable) {
    int Fault = 0;
    socklen_t Size = sizeof(Fault);
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Fault, &Size);
    if (Fault != 0) {
      fail(std::strerror(Fault));
      return;
    }
    Connected = true;
  }
  if (Connected && Writable)
    flush();
  if (Readable && collect())
    Changed(*this);
}

bool HttpConnection::collect() {
  while (receive()) {
  }
  bool Ended = !Usable || (Busy && Complete);
  if (Ended)
    Busy = false;
  return Ended;
}

bool HttpConnection::receive() {
  std::array<char, ReadSize> Buffer;
  ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
      return false;
    Answer.Fault = std::strerror(errno);
    Usable = false;
    return false;
  }
  if (Count == 0 || !Busy) {
    // Bytes outside an exchange answer nothing that was asked.
    Answer.Fault = "the server closed the connection";
    Usable = false;
    return false;
  }
  AnswerBegan = true;
  auto Size = static_cast<std::size_t>(Count);
  std::size_t Parsed =
      http_parser_execute(&Parser, &parserSettings(), Buffer.data(), Size);
  http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  if (Complete && Error == HPE_PAUSED) {
    Usable = Usable && http_should_keep_alive(&Parser) != 0 && Parsed >= Size &&
             Sent == Out.size();
    return false;
  }
  if (Error != HPE_OK) {
    Answer.Fault = http_errno_description(Error);
    Usable = false;
    return false;
  }
  return Size == ReadSize;
}

void HttpConnection::fail(const char *Why) {
  Answer.Fault = Why;
  Usable = false;
  Busy = false;
  Changed(*this);
}

HttpAnswer HttpConnection::takeAnswer() {
  HttpAnswer Taken = std::move(Answer);
  if (Complete && LengthKnown) {
    Taken.Progress = CallProgress::WholeAnswer;
    return Taken;
  }
  Taken.Progress =
      Sent == 0 ? CallProgress::NotSent : CallProgress::NoWholeAnswer;
  if (Complete)
    Taken.Fault = "the answer's length is not known";
  Taken.Status = 0;
  Taken.Body.clear();
  return Taken;
}

int HttpConnection::onHeaderField(http_parser *Parser, const char *At,
                                  std::size_t Size) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  if (!std::exchange(Self->NameGrows, true))
    Self->HeaderName.clear();
  for (std::size_t Letter = 0; Letter < Size; ++Letter)
    Self->HeaderName +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(At[Letter])));
  return 0;
}

int HttpConnection::onHeaderValue(http_parser *Parser, const char *At,
                                  std::size_t Size) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  // A value may come in pieces; a header that is repeated counts by its last.
  std::string &Value = Self->Answer.Headers[Self->HeaderName];
  if (std::exchange(Self->NameGrows, false))
    Value.clear();
  Value.append(At, Size);
  return 0;
}

int HttpConnection::onHeadersComplete(http_parser *Parser) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  Self->Answer.Status = static_cast<int>(Parser->status_code);
  // An answer that ends with its connection cannot be told from a cut one.
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  Self->LengthKnown = (Parser->flags & F_CHUNKED) != 0 ||
                      Parser->content_length != NoLength ||
                      Parser->status_code == HTTP_STATUS_NO_CONTENT;
  return 0;
}

int HttpConnection::onBody(http_parser *Parser, const char *At,
                           std::size_t Size) {
  static_cast<HttpConnection *>(Parser->data)->Answer.Body.append(At, Size);
  return 0;
}

int HttpConnection::onMessageComplete(http_parser *Parser) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  if (Self->Answer.Status / 100 == 1) {
    // An interim answer: the final one follows.
    Self->Answer = HttpAnswer();
    return 0;
  }
  Self->Complete = true;
  http_parser_pause(Parser, 1);
  return 0;
}

const http_parser_settings &HttpConnection::parserSettings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Result;
    http_parser_settings_init(&Result);
    Result.on_header_field = &onHeaderField;
    Result.on_header_value = &onHeaderValue;
    Result.on_headers_complete = &onHeadersComplete;
    Result.on_body = &onBody;
    Result.on_message_complete = &onMessageComplete;
    return Result;
  }();
  return Settings;
}

} // namespace banyanworks
