/// \file
/// Implements Telemetry.
#include "daemon/Telemetry.h"

#include "daemon/Context.h"
#include "daemon/JobPlane.h"
#include "daemon/RequestPlane.h"
#include "daemon/StoreLink.h"
#include "edge/HttpClient.h"
#include "edge/HttpServer.h"
#include "edge/Metrics.h"

#include <sys/resource.h>

namespace banyanworks {

namespace {

constexpr const char *Version = "0.1.0";

double seconds(const timeval &Span) {
  return static_cast<double>(Span.tv_sec) +
         static_cast<double>(Span.tv_usec) * 1e-6;
}

} // namespace

Telemetry::Telemetry(Context &Shared, JobPlane &Jobs, RequestPlane &Requests,
                     HttpServer &Internal)
    : Shared(Shared), Jobs(Jobs), Requests(Requests), Internal(Internal) {}

void Telemetry::addRoutes(HttpServer &Server,
                          const std::function<bool()> &Ready) {
  Server.route("GET", "/healthz", [](const HttpRequest &) {
    return HttpResponse{200, "ok\n", "text/plain", {}};
  });
  Server.route("GET", "/readyz", [Ready](const HttpRequest &) {
    bool Now = Ready();
    return HttpResponse{
        Now ? 200 : 503, Now ? "ready\n" : "not ready\n", "text/plain", {}};
  });
  Server.route("GET", "/metrics",
               [this](const HttpRequest &) { return metrics(); });
  Server.route("GET", "/v1/version", [](const HttpRequest &) {
    return HttpResponse{200,
                        std::string("{\"version\":\"") + Version + "\"}",
                        "application/json",
                        {}};
  });
}

HttpResponse Telemetry::metrics() {
  collectProcess();
  collectJobs();
  collectRequests();
  return {200, Shared.Counters.text(), "text/plain; version=0.0.4", {}};
}

void Telemetry::collectProcess() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Metrics &Out = Shared.Counters;
  Out.set("cpu_seconds", "", seconds(Usage.ru_utime) + seconds(Usage.ru_stime));
  Out.set("peak_memory_bytes", "", static_cast<double>(Usage.ru_maxrss) * 1024);
  HttpTraffic Served = Internal.traffic();
  Out.set("control_bytes", "sent",
          static_cast<double>(Shared.Client.bytesSent() + Served.Sent));
  Out.set("control_bytes", "received",
          static_cast<double>(Shared.Client.bytesReceived() + Served.Received));
  Out.set("store_available", "", Shared.Store.available() ? 1 : 0);
}

void Telemetry::collectJobs() {
  DomainSnapshot Snapshot = Jobs.snapshot();
  Metrics &Out = Shared.Counters;
  Out.set("owner", Snapshot.Domain.Id.str(), Snapshot.Domain.Owner ? 1 : 0);
  if (!Snapshot.Domain.Owner)
    return;
  Out.set("jobs_waiting", "", Snapshot.Domain.WaitingJobs);
  Out.set("jobs_active", "", Snapshot.Domain.ActiveJobs);
  Out.set("workers", "", Snapshot.Domain.Workers);
  Out.set("accelerators", "total", Snapshot.Fragmentation.TotalAccelerators);
  Out.set("accelerators", "free", Snapshot.Fragmentation.FreeAccelerators);
  for (const FragmentationView::Size &Size : Snapshot.Fragmentation.Sizes) {
    std::string Name = std::to_string(Size.Accelerators);
    Out.set("gangs_fit_now", Name, Size.FitNow);
    Out.set("gangs_fit_packed", Name, Size.FitIfPacked);
  }
  for (const WorkspaceView &View : Snapshot.Workspaces) {
    Out.set("guaranteed_accelerators", View.Id.str(),
            View.GuaranteedAccelerators);
    Out.set("guarantee_used_accelerators", View.Id.str(),
            View.UsedAccelerators);
    Out.set("borrowed_accelerators", View.Id.str(), View.Borrowed.Accelerators);
  }
}

void Telemetry::collectRequests() {
  for (const ServiceSnapshot &Snapshot : Requests.snapshot()) {
    Shared.Counters.set("requests_queued", Snapshot.Service.str(),
                        static_cast<double>(Snapshot.Router.Queued));
    Shared.Counters.set("requests_open", Snapshot.Service.str(),
                        static_cast<double>(Snapshot.Router.Open));
  }
}

} // namespace banyanworks
