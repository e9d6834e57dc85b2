/// \file
/// Implements the HTTP responses for refusals.
#include "daemon/Refusal.h"

#include <nlohmann/json.hpp>

namespace banyanworks {

namespace {

/// The retry hint if a retry may succeed and the refusal carries no time.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

} // namespace

HttpResponse refusal(Reason Cause, const std::string &Message,
                     Duration RetryAfter) {
  const ReasonInfo &Info = reasonInfo(Cause);
  nlohmann::json Body = {
      {"reason", Info.Name},
      {"message", Message.empty() ? std::string(Info.Description) : Message},
      {"not_run", Info.Certainty == RunCertainty::NotRun}};
  HttpResponse Response;
  Response.Status = Info.HttpStatus;
  // Distinguishes a refusal by this daemon from the response of an endpoint.
  Response.Headers["X-Reason"] = std::string(Info.Name);
  if (Info.Retryable) {
    Duration Hint = RetryAfter.count() > 0 ? RetryAfter : DefaultRetryAfter;
    auto Milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(Hint).count();
    auto Seconds = std::chrono::ceil<std::chrono::seconds>(Hint).count();
    Body["retry_after_ms"] = Milliseconds;
    Response.Headers["Retry-After"] = std::to_string(Seconds);
  }
  Response.Body = Body.dump();
  return Response;
}

Reason reasonOf(const Error &Fault) {
  static const std::error_category &ReasonCategory =
      make_error_code(Reason::None).category();
  if (Fault.Code.category() != ReasonCategory)
    return Reason::InvalidArgument;
  return static_cast<Reason>(Fault.Code.value());
}

HttpResponse refusal(const Error &Fault) {
  return refusal(reasonOf(Fault), Fault.Message);
}

} // namespace banyanworks
