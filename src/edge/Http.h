/// \file
/// Defines the HTTP messages of servers and clients, independent of any
/// library's types.
#ifndef BANYANWORKS_EDGE_HTTP_H
#define BANYANWORKS_EDGE_HTTP_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyanworks {

/// Headers by name; names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// One request as a server received it.
struct HttpRequest {
  std::string Verb;
  std::string Path;
  /// Variables of the route, such as "id" in "/v1/jobs/:id", and of the query.
  std::map<std::string, std::string> Variables;
  HttpHeaders Headers;
  std::string Body;

  /// The variable of that name; empty if there is none.
  std::string variable(const std::string &Name) const;
  /// The header of that lower-case name; empty if there is none.
  std::string header(const std::string &Name) const;
};

/// A response as a server sends it.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  HttpHeaders Headers;
};

/// How far a call got; determines whether the server may have run it.
enum class CallProgress {
  /// No byte of the request left this process.
  NotSent,
  /// Bytes were sent, but the answer did not arrive completely.
  IncompleteAnswer,
  /// Status, headers and the complete body arrived.
  CompleteAnswer,
};

/// The result of a client's call.
struct HttpCallResult {
  CallProgress Progress = CallProgress::NotSent;
  /// Zero unless the answer is complete.
  int Status = 0;
  std::string Body;
  HttpHeaders Headers;
  /// Error message of a call that failed.
  std::string Fault;
  /// Bytes of the answer that arrived, head included, and when the first and
  /// the last of them were read. Set for calls that failed, too.
  std::uint64_t BytesReceived = 0;
  TimePoint FirstByteAt;
  TimePoint LastByteAt;

  bool complete() const { return Progress == CallProgress::CompleteAnswer; }
  /// True if the answer is complete and has a 2xx status.
  bool succeeded() const { return complete() && Status / 100 == 2; }
};

/// The parts of "host:port"; the port is 0 if the text is malformed.
struct HostPort {
  std::string Host;
  std::uint16_t Port = 0;
};
HostPort parseAddress(const std::string &Address);

/// Percent-encodes \p Text for the query of a path.
std::string escapeQuery(std::string_view Text);

} // namespace banyanworks

#endif
