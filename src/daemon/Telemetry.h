/// \file
/// Defines Telemetry, the routes for monitoring: health, readiness, metrics and
/// version.
#ifndef BANYANWORKS_DAEMON_TELEMETRY_H
#define BANYANWORKS_DAEMON_TELEMETRY_H

#include "edge/Http.h"

#include <functional>

namespace banyanworks {

class HttpServer;
class JobPlane;
class RequestPlane;
struct Context;

/// Serves the monitoring routes; gauges are collected when /metrics is read.
class Telemetry {
public:
  Telemetry(Context &Shared, JobPlane &Jobs, RequestPlane &Requests,
            HttpServer &Internal);

  /// Adds the routes; \p Ready determines the response of /readyz to the load
  /// balancer.
  void addRoutes(HttpServer &Server, const std::function<bool()> &Ready);

private:
  HttpResponse metrics();
  void collectProcess();
  void collectJobs();
  void collectRequests();

  Context &Shared;
  JobPlane &Jobs;
  RequestPlane &Requests;
  HttpServer &InternalServer;
};

} // namespace banyanworks

#endif
