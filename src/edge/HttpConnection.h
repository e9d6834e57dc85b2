/// \file
/// Defines HttpConnection, one kept connection to an HTTP server.
#ifndef BANYANWORKS_EDGE_HTTPCONNECTION_H
#define BANYANWORKS_EDGE_HTTPCONNECTION_H

#include "edge/Http.h"

#include <cstddef>
#include <functional>
#include <string>

#include <http_parser.h>

namespace banyanworks {

class EventLoop;

/// Carries one exchange at a time. The library parses the answers; the
/// connection stays registered with the loop between exchanges, so that an
/// exchange costs one call to send and one to receive.
class HttpConnection {
public:
  /// Called when an exchange has ended, and when the server closes a connection
  /// that carries none. The connection may be destroyed in the call.
  using Listener = std::function<void(HttpConnection &)>;

  HttpConnection(EventLoop &Loop, std::string Address, Listener Notify);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Begins to connect; false if that is impossible.
  bool open();
  /// Begins an exchange. Its end is told from the loop, never in this call.
  void send(std::string Request);
  /// Reads what has arrived already; true if that ends the exchange, which is
  /// then not told to the listener. For an exchange whose time is over in a
  /// process that was slow to look.
  bool receiveAvailable();
  /// What came of the last exchange; to be asked for once, at its end.
  HttpCallResult takeAnswer();

  const std::string &address() const { return Address; }
  bool connected() const { return Connected; }
  /// True if the connection can carry another exchange.
  bool usable() const { return Usable; }
  /// True once a byte of the present answer has arrived.
  bool answerStarted() const { return AnswerStarted; }

private:
  void onReady(bool Readable, bool Writable);
  void flush();
  /// False if nothing more is to be read now.
  bool receiveOnce();
  void fail(const char *Message);
  void watch();
  void resetAnswer();
  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &parserSettings();

  EventLoop &Loop;
  std::string Address;
  Listener Notify;
  int Socket = -1;
  bool Connected = false;
  bool Usable = true;
  bool WatchingWrite = false;
  /// An exchange is under way.
  bool Busy = false;
  bool Complete = false;
  bool AnswerStarted = false;
  /// The answer says where it ends.
  bool LengthKnown = false;
  std::string SendBuffer;
  std::size_t BytesSent = 0;
  http_parser Parser{};
  HttpCallResult Answer;
  std::string HeaderName;
  bool ReadingName = false;
};

} // namespace banyanworks

#endif
