/// \file
/// Defines EndpointAdapter, the interface to the services' endpoints. Adapters
/// are registered plug-ins, selected by a setting.
#ifndef BANYANWORKS_EDGE_ENDPOINTADAPTER_H
#define BANYANWORKS_EDGE_ENDPOINTADAPTER_H

#include "kernel/Registry.h"
#include "requests/RequestEvents.h"

#include <string>

namespace banyanworks {

class HttpClient;

/// One attempt to run a request at an endpoint.
struct EndpointCall {
  AttemptId Attempt;
  std::string Address;
  ServiceId Service;
  MethodId Method;
  /// Empty if the caller did not provide one.
  IdempotencyKey Key;
  std::string ContentType;
  const std::string *Body = nullptr;
  /// False if the request must not be sent twice.
  bool Repeatable = false;
  Duration Timeout{};
};

/// The result of an attempt. Body and ContentType come from the endpoint.
struct EndpointResult {
  AttemptEnd End = AttemptEnd::NotSent;
  int Status = 0;
  std::string Body;
  std::string ContentType;
};

/// Runs attempts; may be used from several threads.
class EndpointAdapter {
public:
  virtual ~EndpointAdapter() = default;

  /// Blocks until the attempt has ended.
  virtual EndpointResult call(const EndpointCall &Call) = 0;
};

using EndpointAdapterRegistry = Registry<EndpointAdapter, HttpClient &>;

} // namespace banyanworks

#endif
