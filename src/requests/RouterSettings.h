/// \file
/// Defines RouterSettings, who a router is and how its parts are tuned.
#ifndef BANYANWORKS_REQUESTS_ROUTERSETTINGS_H
#define BANYANWORKS_REQUESTS_ROUTERSETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace banyanworks {

/// Reports between daemons, and leases of slots.
struct PeerOptions {
  /// The span between two reports to a peer without news.
  Duration ReportPeriod = std::chrono::milliseconds(400);
  /// The least span between two reports to a peer with news.
  Duration UrgentPeriod = std::chrono::milliseconds(20);
  /// A peer that was not heard for this long counts as dead.
  Duration Timeout = std::chrono::milliseconds(1200);
  /// How long a grant of slots stands.
  Duration SlotLease = std::chrono::seconds(3);
  /// The part of all slots that daemons without load keep in sum.
  double IdleShare = 0.07;
};

/// When endpoints are set aside and how they return.
struct HealthOptions {
  std::uint32_t ConsecutiveFailures = 3;
  /// An endpoint is slow at this many times the median of all.
  double SlowFactor = 3.0;
  std::uint32_t SlowSamples = 3;
  /// The largest part of the endpoints that may be set aside at once.
  double MaxEjectedShare = 0.5;
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(60);
  /// Spans below this are never called slow.
  Duration MinSlowLatency = std::chrono::milliseconds(20);
};

/// The queue and the refusals at arrival.
struct AdmissionOptions {
  std::size_t MaxQueued = 2000;
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(30);
};

/// Retries of one router.
struct RetryOptions {
  /// Retries that each admitted request earns.
  double BudgetShare = 0.08;
  /// Retries that a quiet router may make at once.
  double BudgetBurst = 20;
  std::uint32_t MaxAttempts = 4;
  Duration InitialBackoff = std::chrono::milliseconds(5);
  Duration MaxBackoff = std::chrono::milliseconds(500);
};

/// Claims of requests that are not repeatable.
struct ClaimOptions {
  /// The least span between two store writes of a claim home.
  Duration WriteInterval = std::chrono::milliseconds(25);
  /// Outcomes without new claims wait this long for company.
  Duration OutcomeDelay = std::chrono::milliseconds(400);
  /// A claim holds its key for this long.
  Duration Retention = std::chrono::minutes(10);
  /// How long the home is waited for before this daemon records by itself.
  Duration HomeTimeout = std::chrono::milliseconds(150);
  /// Claims and outcomes in one store record.
  std::size_t MaxBatch = 2000;
  /// The pause after a store call without effect.
  Duration StoreBackoff = std::chrono::milliseconds(100);
  /// A request waits this long for its claim before it is refused.
  Duration MaxWait = std::chrono::seconds(2);
};

/// Who a router is.
struct RouterSettings {
  ServiceId Service;
  DaemonId Self;
  Incarnation SelfIncarnation;
  DomainId Domain;
  std::uint64_t Seed = 1;
  PeerOptions Peers;
  HealthOptions Health;
  AdmissionOptions Admission;
  RetryOptions Retries;
  ClaimOptions Claims;
};

} // namespace banyanworks

#endif
