/// \file
/// Implements the calls of the command line to the daemons.
#include "cli/Session.h"

#include <algorithm>
#include <iostream>

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr const char *ReasonHeader = "x-reason";

json parseJson(const std::string &Text) {
  return json::parse(Text, nullptr, false);
}

/// Converts a complete HTTP answer. A reason header marks a refusal.
ApiAnswer parseAnswer(const HttpCallResult &Answer) {
  ApiAnswer Result;
  Result.Status = Answer.Status;
  Result.Body = Answer.Body;
  auto Reason = Answer.Headers.find(ReasonHeader);
  if (Reason == Answer.Headers.end()) {
    Result.Code = ExitCode::Done;
    return Result;
  }
  Result.Reason = Reason->second;
  json Body = parseJson(Answer.Body);
  bool NotRun = false;
  if (Body.is_object()) {
    Result.Message = Body.value("message", "");
    NotRun = Body.value("not_run", false);
  }
  Result.Code = NotRun ? ExitCode::Refused : ExitCode::OutcomeUnknown;
  return Result;
}

/// Returns true if another daemon may accept the refused call.
bool isRetriableElsewhere(const ApiAnswer &Answer) {
  return Answer.Reason == "shutting_down" || Answer.Reason == "not_owner" ||
         Answer.Reason == "domain_unreachable" ||
         Answer.Reason == "store_unavailable";
}

} // namespace

json ApiAnswer::json() const { return parseJson(Body); }

ApiAnswer Session::call(const ApiCall &Call) {
  ApiAnswer Result;
  Result.Message = "no daemon could be reached";
  for (const std::string &Server : Servers) {
    HttpCall Request;
    Request.Verb = Call.Verb;
    Request.Address = Server;
    Request.Path = Call.Path;
    Request.Headers = Call.Headers;
    Request.Body = Call.Body;
    Request.Timeout = Call.Timeout;
    Request.Repeatable = Call.Repeatable;
    HttpCallResult Answer = Client.call(Request);
    if (Answer.Progress == CallProgress::NotSent) {
      if (Result.Code == ExitCode::Unreachable)
        Result.Message = Server + ": " + Answer.Fault;
      continue;
    }
    if (!Answer.complete()) {
      Result.Code = ExitCode::OutcomeUnknown;
      Result.Message = Server + ": " + Answer.Fault;
      if (Call.Repeatable)
        continue;
      return Result;
    }
    Result = parseAnswer(Answer);
    bool Retry =
        Result.Code == ExitCode::Refused && isRetriableElsewhere(Result);
    if (!Retry)
      return Result;
  }
  return Result;
}

int Session::reportFailure(const ApiAnswer &Answer) const {
  if (asJson()) {
    json Report = {{"reason", Answer.Reason},
                   {"message", Answer.Message},
                   {"not_run", Answer.Code != ExitCode::OutcomeUnknown}};
    std::cout << Report.dump() << '\n';
  } else {
    std::cerr << "banyanworks: " << Answer.Message;
    if (!Answer.Reason.empty())
      std::cerr << " (" << Answer.Reason << ")";
    std::cerr << (Answer.Code == ExitCode::OutcomeUnknown
                      ? "; the call may have run\n"
                      : "; the call was not run\n");
  }
  return static_cast<int>(Answer.Code);
}

void printTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      if (Column + 1 < Row.size())
        Line += std::string(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    std::cout << Line << '\n';
  }
}

std::string field(const json &From, const std::string &Name) {
  if (!From.is_object() || !From.contains(Name) || From.at(Name).is_null())
    return "-";
  const json &Value = From.at(Name);
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

} // namespace banyanworks
