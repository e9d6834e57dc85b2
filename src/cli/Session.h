/// \file
/// Defines Session, which calls the API of the daemons, fails over between
/// servers and maps failures to exit codes.
#ifndef BANYANWORKS_CLI_SESSION_H
#define BANYANWORKS_CLI_SESSION_H

#include "base/Time.h"
#include "edge/Http.h"
#include "edge/HttpClient.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace banyanworks {

/// Exit codes of the program.
enum class ExitCode {
  Done = 0,
  /// Invalid arguments or an invalid file.
  Usage = 2,
  /// The call was refused and did not run.
  Refused = 3,
  /// The call may have run.
  OutcomeUnknown = 4,
  /// No daemon was reachable; the call did not run.
  Unreachable = 5,
};

/// A call to the API.
struct ApiCall {
  std::string Verb = "GET";
  std::string Path;
  std::string Body;
  HttpHeaders Headers;
  /// True if the call may be sent twice: reads, and calls with an idempotency
  /// key.
  bool Repeatable = true;
  Duration Timeout = std::chrono::seconds(15);
};

/// The result of a call after all eligible servers were tried.
struct ApiAnswer {
  ExitCode Code = ExitCode::Unreachable;
  int Status = 0;
  std::string Body;
  /// Code and text of the reason if the call was refused.
  std::string Reason;
  std::string Message;

  bool done() const { return Code == ExitCode::Done; }
  nlohmann::json json() const;
};

/// Client of the API with the list of servers and the output format.
class Session {
public:
  std::vector<std::string> Servers;
  std::string Output = "text";

  bool asJson() const { return Output == "json"; }

  ApiAnswer call(const ApiCall &Call);

  /// Prints the error of a failed call and returns its exit code.
  int reportFailure(const ApiAnswer &Answer) const;

private:
  HttpClient Client;
};

/// Prints rows as aligned columns; the first row is the header.
void printTable(const std::vector<std::vector<std::string>> &Rows);

/// Returns the member \p Name of a JSON object as text; "-" if it is missing or
/// null.
std::string field(const nlohmann::json &From, const std::string &Name);

} // namespace banyanworks

#endif
