/// \file
/// Implements the endpoint adapter "http".
#include "edge/EndpointAdapter.h"

#include "edge/HttpClient.h"

namespace banyanworks {

namespace {

constexpr const char *AttemptHeader = "x-attempt-id";
/// Header by which an endpoint confirms that it did not run the request.
constexpr const char *NotRunHeader = "x-not-run";

std::string find(const HttpHeaders &Headers, const std::string &Name) {
  auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

class HttpEndpoint : public EndpointAdapter {
public:
  explicit HttpEndpoint(HttpClient &Client) : Client(Client) {}

  EndpointResult call(const EndpointCall &Call) override {
    HttpCall Request;
    Request.Verb = "POST";
    Request.Address = Call.Address;
    Request.Path = "/call/" + Call.Service.str() + "/" + Call.Method.str();
    Request.Headers[AttemptHeader] = std::to_string(Call.Attempt.value());
    if (!Call.ContentType.empty())
      Request.Headers["content-type"] = Call.ContentType;
    if (!Call.Key.empty())
      Request.Headers["idempotency-key"] = Call.Key.str();
    Request.Body = *Call.Body;
    Request.Timeout = Call.Timeout;
    Request.Repeatable = Call.Repeatable;
    return convert(Client.call(Request), Request.Headers[AttemptHeader]);
  }

private:
  static EndpointResult convert(HttpCallResult Answer,
                                const std::string &Attempt) {
    EndpointResult Result;
    if (!Answer.complete()) {
      Result.End = Answer.Progress == CallProgress::NotSent
                       ? AttemptEnd::NotSent
                       : AttemptEnd::SentNoAnswer;
      return Result;
    }
    std::string NotRun = find(Answer.Headers, NotRunHeader);
    if (Answer.Status == 503 && !NotRun.empty()) {
      Result.End = NotRun == "draining" ? AttemptEnd::RefusedDraining
                                        : AttemptEnd::RefusedBusy;
      return Result;
    }
    std::string Echoed = find(Answer.Headers, AttemptHeader);
    if (!Echoed.empty() && Echoed != Attempt) {
      // The answer belongs to another attempt; this attempt may still have run.
      Result.End = AttemptEnd::SentNoAnswer;
      return Result;
    }
    Result.End = AttemptEnd::Answered;
    Result.Status = Answer.Status;
    Result.Body = std::move(Answer.Body);
    Result.ContentType = find(Answer.Headers, "content-type");
    return Result;
  }

  HttpClient &Client;
};

const EndpointAdapterRegistry::Registration
    Registered("http", [](HttpClient &Client) {
      return std::make_unique<HttpEndpoint>(Client);
    });

} // namespace

} // namespace banyanworks
