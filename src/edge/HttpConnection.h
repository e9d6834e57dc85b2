/// \file
/// Defines HttpConnection, a persistent connection to an HTTP server.
#ifndef BANYANWORKS_EDGE_HTTPCONNECTION_H
#define BANYANWORKS_EDGE_HTTPCONNECTION_H

#include "edge/Http.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <http_parser.h>

namespace banyanworks {

class EventLoop;

/// Carries one exchange at a time. The connection stays registered with the
/// loop between exchanges, so that an exchange takes one system call to send
/// and one to receive.
class HttpConnection {
public:
  /// Called when an exchange has ended, and when the server closes an idle
  /// connection. The listener may destroy the connection.
  using Listener = std::function<void(HttpConnection &)>;

  HttpConnection(EventLoop &Loop, std::string Address, Listener Notify);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Starts to connect; false if that fails at once.
  bool open();
  /// True if nothing has arrived on this idle connection: neither the server's
  /// close nor stray bytes that would be taken for the next answer.
  bool quiet() const;
  /// Calls \p Callback whenever bytes were read that do not end the exchange.
  void onArrival(Listener Callback) { NotifyArrival = std::move(Callback); }
  /// Starts an exchange. Its end is reported from the loop, never within this
  /// call.
  void send(std::string Request);
  /// Reads the bytes that have arrived; true if they end the exchange, in which
  /// case the listener is not called. Used when the exchange times out, since a
  /// slow process may not have read an answer that arrived in time.
  bool receiveAvailable();
  /// The result of the last exchange. Call once, after its end.
  HttpCallResult takeAnswer();

  const std::string &address() const { return Address; }
  bool connected() const { return Connected; }
  /// True if the connection can carry another exchange.
  bool usable() const { return Usable; }
  /// True once a byte of the current answer has arrived.
  bool answerStarted() const { return BytesReceived > 0; }
  /// The status of the current answer; zero until its head has arrived.
  int answerStatus() const { return Answer.Status; }
  /// When the last byte of the current answer was read.
  TimePoint lastByteAt() const { return LastByteAt; }

private:
  void onReady(bool Readable, bool Writable);
  void flush();
  /// Reads once; false if nothing more can be read now.
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
  Listener NotifyArrival;
  int Socket = -1;
  bool Connected = false;
  bool Usable = true;
  bool WatchingWrite = false;
  /// An exchange is in progress.
  bool Busy = false;
  bool Complete = false;
  /// Bytes of the current answer, and when the first and the last of them were
  /// read.
  std::uint64_t BytesReceived = 0;
  TimePoint FirstByteAt;
  TimePoint LastByteAt;
  /// The answer declares where it ends.
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
