/// \file
/// Implements HttpConnection on a socket and http_parser.
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

/// Bytes per read; most answers are smaller.
constexpr std::size_t ReadSize = 16384;

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, std::string Address,
                               Listener Notify)
    : Loop(Loop), Address(std::move(Address)), Notify(std::move(Notify)) {}

HttpConnection::~HttpConnection() {
  if (Socket < 0)
    return;
  Loop.unwatch(Socket);
  close(Socket);
}

bool HttpConnection::open() {
  HostPort ParsedAddress = parseAddress(Address);
  sockaddr_in Server{};
  Server.sin_family = AF_INET;
  Server.sin_port = htons(ParsedAddress.Port);
  if (ParsedAddress.Port == 0 ||
      inet_pton(AF_INET, ParsedAddress.Host.c_str(), &Server.sin_addr) != 1) {
    Answer.Fault = "malformed address";
    return false;
  }
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0) {
    Answer.Fault = std::strerror(errno);
    return false;
  }
  int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Server), // NOLINT
              sizeof(Server)) != 0 &&
      errno != EINPROGRESS) {
    Answer.Fault = std::strerror(errno);
    return false;
  }
  WatchingWrite = true;
  watch();
  return true;
}

void HttpConnection::watch() {
  Loop.watch(Socket, true, WatchingWrite, [this](bool Readable, bool Writable) {
    onReady(Readable, Writable);
  });
}

void HttpConnection::resetAnswer() {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  Answer = HttpCallResult();
  Complete = false;
  BytesReceived = 0;
  FirstByteAt = TimePoint();
  LastByteAt = TimePoint();
  LengthKnown = false;
  HeaderName.clear();
  ReadingName = false;
}

bool HttpConnection::quiet() const {
  char Byte = 0;
  ssize_t Count = recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::send(std::string Request) {
  resetAnswer();
  Busy = true;
  SendBuffer = std::move(Request);
  BytesSent = 0;
  if (Connected)
    flush();
}

void HttpConnection::flush() {
  while (BytesSent < SendBuffer.size()) {
    ssize_t Count = ::send(Socket, SendBuffer.data() + BytesSent,
                           SendBuffer.size() - BytesSent, MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    BytesSent += static_cast<std::size_t>(Count);
  }
  // A broken connection becomes readable; receiveOnce() then reports the error.
  bool MustWaitForWrite = BytesSent < SendBuffer.size() &&
                          (errno == EAGAIN || errno == EWOULDBLOCK);
  if (std::exchange(WatchingWrite, MustWaitForWrite) != MustWaitForWrite)
    watch();
}

void HttpConnection::onReady(bool Readable, bool Writable) {
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
  if (!Readable)
    return;
  std::uint64_t ReceivedBefore = BytesReceived;
  if (receiveAvailable())
    Notify(*this);
  else if (NotifyArrival && BytesReceived > ReceivedBefore)
    NotifyArrival(*this);
}

bool HttpConnection::receiveAvailable() {
  while (receiveOnce()) {
  }
  bool Ended = !Usable || (Busy && Complete);
  if (Ended)
    Busy = false;
  return Ended;
}

bool HttpConnection::receiveOnce() {
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
    // Bytes outside an exchange belong to no request.
    Answer.Fault = "the server closed the connection";
    Usable = false;
    return false;
  }
  auto Size = static_cast<std::size_t>(Count);
  LastByteAt = Loop.now();
  if (BytesReceived == 0)
    FirstByteAt = LastByteAt;
  BytesReceived += Size;
  std::size_t Parsed =
      http_parser_execute(&Parser, &parserSettings(), Buffer.data(), Size);
  http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  if (Complete && Error == HPE_PAUSED) {
    Usable = Usable && http_should_keep_alive(&Parser) != 0 && Parsed >= Size &&
             BytesSent == SendBuffer.size();
    return false;
  }
  if (Error != HPE_OK) {
    Answer.Fault = http_errno_description(Error);
    Usable = false;
    return false;
  }
  return Size == ReadSize;
}

void HttpConnection::fail(const char *Message) {
  Answer.Fault = Message;
  Usable = false;
  Busy = false;
  Notify(*this);
}

HttpCallResult HttpConnection::takeAnswer() {
  HttpCallResult Result = std::move(Answer);
  Result.BytesReceived = BytesReceived;
  Result.FirstByteAt = FirstByteAt;
  Result.LastByteAt = LastByteAt;
  if (Complete && LengthKnown) {
    Result.Progress = CallProgress::CompleteAnswer;
    return Result;
  }
  Result.Progress =
      BytesSent == 0 ? CallProgress::NotSent : CallProgress::IncompleteAnswer;
  if (Complete)
    Result.Fault = "the answer does not declare its length";
  Result.Status = 0;
  Result.Body.clear();
  return Result;
}

int HttpConnection::onHeaderField(http_parser *Parser, const char *Data,
                                  std::size_t Size) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  if (!std::exchange(Self->ReadingName, true))
    Self->HeaderName.clear();
  for (std::size_t Index = 0; Index < Size; ++Index)
    Self->HeaderName += static_cast<char>(
        std::tolower(static_cast<unsigned char>(Data[Index])));
  return 0;
}

int HttpConnection::onHeaderValue(http_parser *Parser, const char *Data,
                                  std::size_t Size) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  // The parser may pass a value in several parts. The last of repeated headers
  // wins.
  std::string &Value = Self->Answer.Headers[Self->HeaderName];
  if (std::exchange(Self->ReadingName, false))
    Value.clear();
  Value.append(Data, Size);
  return 0;
}

int HttpConnection::onHeadersComplete(http_parser *Parser) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  Self->Answer.Status = static_cast<int>(Parser->status_code);
  // Without a length, an answer that ends with its connection cannot be
  // distinguished from a truncated one.
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  Self->LengthKnown = (Parser->flags & F_CHUNKED) != 0 ||
                      Parser->content_length != NoLength ||
                      Parser->status_code == HTTP_STATUS_NO_CONTENT;
  return 0;
}

int HttpConnection::onBody(http_parser *Parser, const char *Data,
                           std::size_t Size) {
  static_cast<HttpConnection *>(Parser->data)->Answer.Body.append(Data, Size);
  return 0;
}

int HttpConnection::onMessageComplete(http_parser *Parser) {
  auto *Self = static_cast<HttpConnection *>(Parser->data);
  if (Self->Answer.Status / 100 == 1) {
    // A 1xx answer is interim; the final answer follows.
    Self->Answer = HttpCallResult();
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
