/// \file
/// Defines RouterSettings, the identity of a router and the tuning of its
/// parts.
#ifndef BANYANWORKS_REQUESTS_ROUTERSETTINGS_H
#define BANYANWORKS_REQUESTS_ROUTERSETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace banyanworks {

/// Reports between daemons, and slot leases.
struct PeerOptions {
  /// Interval of reports to a peer if nothing urgent is to be sent.
  Duration ReportPeriod = std::chrono::milliseconds(400);
  /// Minimum interval of reports to a peer if an urgent change is to be sent.
  Duration UrgentPeriod = std::chrono::milliseconds(20);
  /// A peer without a report for this long is considered dead.
  Duration Timeout = std::chrono::milliseconds(1200);
  /// Duration of a slot lease.
  Duration SlotLease = std::chrono::seconds(3);
  /// Fraction of all slots that daemons without load hold in sum.
  double IdleShare = 0.07;
};

/// When endpoints are ejected and for how long.
struct HealthOptions {
  std::uint32_t ConsecutiveFailures = 3;
  /// An attempt is slow above this multiple of the mean latency of its method,
  /// an endpoint above this multiple of the median relative latency.
  double SlowFactor = 3.0;
  std::uint32_t SlowSamples = 3;
  /// Maximum fraction of the endpoints that may be ejected at the same time.
  double MaxEjectedShare = 0.5;
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(60);
  /// Attempts below this latency are never considered slow.
  Duration MinSlowLatency = std::chrono::milliseconds(20);
};

/// The queue limit and the bounds of the retry-after hint of refusals.
struct AdmissionOptions {
  std::size_t MaxQueued = 2000;
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(30);
};

/// Retry limits of one router.
struct RetryOptions {
  /// Retries allowed per admitted request, on average.
  double BudgetShare = 0.08;
  /// Maximum number of unused retries that accumulate.
  double BudgetBurst = 20;
  std::uint32_t MaxAttempts = 4;
  Duration InitialBackoff = std::chrono::milliseconds(5);
  Duration MaxBackoff = std::chrono::milliseconds(500);
};

/// Claims of requests that are not repeatable.
struct ClaimOptions {
  /// Minimum interval between two store calls of a claim log.
  Duration WriteInterval = std::chrono::milliseconds(25);
  /// Outcomes are written after this time, or earlier together with claims.
  Duration OutcomeDelay = std::chrono::milliseconds(400);
  /// A claim holds its key for this long.
  Duration Retention = std::chrono::minutes(10);
  /// If the home does not answer within this time, this daemon records the
  /// claim.
  Duration HomeTimeout = std::chrono::milliseconds(150);
  /// Maximum number of claims, and of outcomes, in one store record.
  std::size_t MaxBatch = 2000;
  /// Pause after a store call that failed.
  Duration StoreBackoff = std::chrono::milliseconds(100);
  /// A request without a decision on its claim is refused after this time.
  Duration MaxWait = std::chrono::seconds(2);
};

/// The identity and options of a router.
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
