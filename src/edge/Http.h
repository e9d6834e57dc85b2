/// \file
/// Defines the messages of HTTP as the server, the client and their callers
/// exchange them, free of any library's types.
#ifndef BANYANWORKS_EDGE_HTTP_H
#define BANYANWORKS_EDGE_HTTP_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyanworks {

/// Header names are compared as written by us: in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// One request as a server received it.
struct HttpRequest {
  std::string Verb;
  std::string Path;
  /// The variables of the route, as "id" in "/v1/jobs/:id", and of the query.
  std::map<std::string, std::string> Variables;
  HttpHeaders Headers;
  std::string Body;

  /// The variable of that name; empty if there is none.
  std::string variable(const std::string &Name) const;
  /// The header of that lower-case name; empty if there is none.
  std::string header(const std::string &Name) const;
};

/// One answer of a server.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  HttpHeaders Headers;
};

/// How far a call got; decides whether it can have run.
enum class CallProgress {
  /// No byte of the request left this process.
  NotSent,
  /// Bytes were sent, but the answer did not arrive whole.
  IncompleteAnswer,
  /// Status, headers and the whole body arrived.
  CompleteAnswer,
};

/// What a client learned from a call.
struct HttpCallResult {
  CallProgress Progress = CallProgress::NotSent;
  /// Zero unless the answer is whole.
  int Status = 0;
  std::string Body;
  HttpHeaders Headers;
  /// The library's sentence on what went wrong.
  std::string Fault;

  bool complete() const { return Progress == CallProgress::CompleteAnswer; }
  /// Whole, with a status of the 200s.
  bool succeeded() const { return complete() && Status / 100 == 2; }
};

/// Splits "host:port"; the port is 0 if the text is malformed.
struct HostPort {
  std::string Host;
  std::uint16_t Port = 0;
};
HostPort parseAddress(const std::string &Address);

/// \p Text as it stands in the query of a path.
std::string escapeQuery(std::string_view Text);

} // namespace banyanworks

#endif
