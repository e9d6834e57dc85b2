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
    : Shared(Shared), Jobs(Jobs), Requests(Requests), InternalServer(Internal) {
}

void Telemetry::addRoutes(HttpServer &Server,
                          const std::function<bool()> &Ready) {
  Server.route("GET", "/healthz", [](const HttpRequest &) {
    return HttpResponse{200, "ok\n", "text/plain", {}};
  });
  Server.route("GET", "/readyz", [Ready](const HttpRequest &) {
    bool IsReady = Ready();
    return HttpResponse{IsReady ? 200 : 503,
                        IsReady ? "ready\n" : "not ready\n",
                        "text/plain",
                        {}};
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
  return {200, Shared.Counters.serialize(), "text/plain; version=0.0.4", {}};
}

void Telemetry::collectProcess() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Metrics &Out = Shared.Counters;
  Out.setGauge("cpu_seconds", "",
               seconds(Usage.ru_utime) + seconds(Usage.ru_stime));
  Out.setGauge("peak_memory_bytes", "",
               static_cast<double>(Usage.ru_maxrss) * 1024);
  HttpTraffic Served = InternalServer.traffic();
  Out.setGauge(
      "control_bytes", "sent",
      static_cast<double>(Shared.Client.bytesSent() + Served.BytesSent));
  Out.setGauge("control_bytes", "received",
               static_cast<double>(Shared.Client.bytesReceived() +
                                   Served.BytesReceived));
  Out.setGauge("store_available", "", Shared.Store.available() ? 1 : 0);
}

void Telemetry::collectJobs() {
  DomainSnapshot Snapshot = Jobs.snapshot();
  Metrics &Out = Shared.Counters;
  Out.setGauge("owner", Snapshot.Domain.Id.str(),
               Snapshot.Domain.Owner ? 1 : 0);
  if (!Snapshot.Domain.Owner)
    return;
  Out.setGauge("jobs_waiting", "", Snapshot.Domain.WaitingJobs);
  Out.setGauge("jobs_active", "", Snapshot.Domain.ActiveJobs);
  Out.setGauge("workers", "", Snapshot.Domain.Workers);
  Out.setGauge("accelerators", "total",
               Snapshot.Fragmentation.TotalAccelerators);
  Out.setGauge("accelerators", "free", Snapshot.Fragmentation.FreeAccelerators);
  for (const FragmentationView::Size &Size : Snapshot.Fragmentation.Sizes) {
    std::string Name = std::to_string(Size.Accelerators);
    Out.setGauge("gangs_fit_now", Name, Size.FitNow);
    Out.setGauge("gangs_fit_packed", Name, Size.FitIfPacked);
  }
  for (const WorkspaceView &View : Snapshot.Workspaces) {
    Out.setGauge("guaranteed_accelerators", View.Id.str(),
                 View.GuaranteedAccelerators);
    Out.setGauge("guarantee_used_accelerators", View.Id.str(),
                 View.UsedAccelerators);
    Out.setGauge("borrowed_accelerators", View.Id.str(),
                 View.Borrowed.Accelerators);
  }
}

void Telemetry::collectRequests() {
  for (const ServiceSnapshot &Snapshot : Requests.snapshot()) {
    Shared.Counters.setGauge("requests_queued", Snapshot.Service.str(),
                             static_cast<double>(Snapshot.Router.Queued));
    Shared.Counters.setGauge("requests_open", Snapshot.Service.str(),
                             static_cast<double>(Snapshot.Router.Open));
  }
}

} // namespace banyanworks
