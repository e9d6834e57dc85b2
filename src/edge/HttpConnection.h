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

  HttpConnection(EventLoop &Loop, std::string Address, Listener Changed);
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
  bool collect();
  /// What came of the last exchange; to be asked for once, at its end.
  HttpAnswer takeAnswer();

  const std::string &address() const { return Address; }
  bool connected() const { return Connected; }
  /// True if the connection can carry another exchange.
  bool usable() const { return Usable; }
  /// True once a byte of the present answer has arrived.
  bool answerBegan() const { return AnswerBegan; }

private:
  void ready(bool Readable, bool Writable);
  void flush();
  /// False if nothing more is to be read now.
  bool receive();
  void fail(const char *Why);
  void watch();
  void beginAnswer();
  static int onHeaderField(http_parser *Parser, const char *At,
                           std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *At,
                           std::size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, std::size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &parserSettings();

  EventLoop &Loop;
  std::string Address;
  Listener Changed;
  int Socket = -1;
  bool Connected = false;
  bool Usable = true;
  bool WatchesWrite = false;
  /// An exchange is under way.
  bool Busy = false;
  bool Complete = false;
  bool AnswerBegan = false;
  /// The answer says where it ends.
  bool LengthKnown = false;
  std::string Out;
  std::size_t Sent = 0;
  http_parser Parser{};
  HttpAnswer Answer;
  std::string HeaderName;
  bool NameGrows = false;
};

} // namespace banyanworks

#endif
