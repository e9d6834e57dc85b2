/// \file
/// Defines the HTTP response for refusals: the reason, a message, whether the
/// request is certain not to have run, and when to retry.
#ifndef BANYANWORKS_DAEMON_REFUSAL_H
#define BANYANWORKS_DAEMON_REFUSAL_H

#include "base/Error.h"
#include "base/Reason.h"
#include "base/Time.h"
#include "edge/Http.h"

#include <string>

namespace banyanworks {

/// The response for a refusal. An empty \p Message selects the reason's default
/// sentence; a zero \p RetryAfter selects the default retry hint.
HttpResponse refusal(Reason Cause, const std::string &Message = "",
                     Duration RetryAfter = Duration(0));

/// The response for a failed outcome.
HttpResponse refusal(const Error &Fault);

/// The reason in an error's code; InvalidArgument for codes of other
/// categories.
Reason reasonOf(const Error &Fault);

} // namespace banyanworks

#endif
