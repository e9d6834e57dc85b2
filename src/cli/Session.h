/// \file
/// Defines Session, the command line's calls to the daemons: which server is
/// tried, when another one may be, and what a failure means for the exit code.
#ifndef BANYANWORKS_CLI_SESSION_H
#define BANYANWORKS_CLI_SESSION_H

#include "base/Time.h"
#include "edge/Http.h"
#include "edge/HttpClient.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace banyanworks {

/// What the program's exit code says.
enum class ExitCode {
  Done = 0,
  /// Wrong usage or an invalid file.
  Usage = 2,
  /// Refused, and certainly not run.
  Refused = 3,
  /// It may have run.
  OutcomeUnknown = 4,
  /// No daemon could be reached, so nothing ran.
  Unreachable = 5,
};

/// One call to the API.
struct ApiCall {
  std::string Verb = "GET";
  std::string Path;
  std::string Body;
  HttpHeaders Headers;
  /// True if a second run does no harm, as for reads and keyed calls.
  bool Repeatable = true;
  Duration Timeout = std::chrono::seconds(15);
};

/// What came of a call after all servers that may be tried.
struct ApiAnswer {
  ExitCode Code = ExitCode::Unreachable;
  int Status = 0;
  std::string Body;
  /// The reason's code and sentence where the call was refused.
  std::string Reason;
  std::string Message;

  bool done() const { return Code == ExitCode::Done; }
  nlohmann::json json() const;
};

/// The servers and the form of the output.
class Session {
public:
  std::vector<std::string> Servers;
  std::string Output = "text";

  bool asJson() const { return Output == "json"; }

  ApiAnswer call(const ApiCall &Call);

  /// Prints a failed answer and returns its exit code.
  int reportFailure(const ApiAnswer &Answer) const;

private:
  HttpClient Client;
};

/// Prints rows in columns; the first row is the header.
void printTable(const std::vector<std::vector<std::string>> &Rows);

/// A scalar of the API's JSON as text; "-" if it is missing.
std::string field(const nlohmann::json &From, const std::string &Name);

} // namespace banyanworks

#endif
