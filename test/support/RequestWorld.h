/// \file
/// Defines RequestWorld, a simulation in virtual time of routers, endpoints, a
/// claim store and callers with seeded faults, and the report of its results.
#ifndef BANYANWORKS_TEST_SUPPORT_REQUESTWORLD_H
#define BANYANWORKS_TEST_SUPPORT_REQUESTWORLD_H

#include "base/Random.h"
#include "model/Configuration.h"
#include "support/FakeClaimStore.h"
#include "support/FakeEndpoint.h"
#include "support/RequestPlane.h"
#include "support/VirtualClock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace banyanworks {

/// Fault rates; probabilities per event unless stated otherwise.
struct RequestFaults {
  double NotSent = 0;
  double RequestLost = 0;
  double AnswerLost = 0;
  double AnswerTruncated = 0;
  double AnswerDuplicated = 0;
  double AnswerLate = 0;
  double AnswerCrossed = 0;
  double PeerMessageLost = 0;
  StoreFaults Store;
  /// Crashes and pauses per second over all daemons, and store outages per
  /// second.
  double CrashesPerSecond = 0;
  double PausesPerSecond = 0;
  double OutagesPerSecond = 0;
  Duration MaxPause = std::chrono::seconds(4);
  Duration MaxOutage = std::chrono::seconds(3);
};

/// Protections that can be disabled to show that each is needed.
struct RequestProtections {
  /// False: round robin, three retries, no claims.
  bool Router = true;
  /// False: orders are declared repeatable, so they need no claims.
  bool Claims = true;
  /// False: the store overwrites existing records unconditionally.
  bool ConditionalWrites = true;
  /// False: a misdirected answer is taken for that of the latest attempt at the
  /// endpoint.
  bool AttemptIdentity = true;
  /// False: truncated answers are taken for complete.
  bool TruncationDetected = true;
  /// False: an attempt without an answer is taken for not sent.
  bool SendTracked = true;
};

/// The options of one simulation run.
struct RequestWorldOptions {
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(10);
  /// Requests that arrive earlier do not count towards goodput and latency.
  Duration Warmup = std::chrono::seconds(0);
  std::uint32_t Domains = 3;
  std::uint32_t Daemons = 8;
  std::uint32_t Endpoints = 48;
  std::uint32_t Slots = 8;
  Duration ServiceTime = std::chrono::milliseconds(50);
  /// Maximum deviation of service times from the mean, as a fraction of it.
  double ServiceSpread = 0.5;
  Duration Deadline = std::chrono::seconds(2);
  /// Arrivals per second over all daemons.
  double Rate = 1000;
  /// All arrivals go to the first daemon.
  bool SingleEntryDaemon = false;
  /// Fraction of orders, the non-repeatable requests.
  double Orders = 0;
  /// The first SlowEndpoints endpoints are SlowFactor times slower.
  std::uint32_t SlowEndpoints = 0;
  double SlowFactor = 10;
  /// The first endpoints fail every attempt: half are not sent, half get a
  /// status of 500.
  std::uint32_t FailingEndpoints = 0;
  /// The first endpoint refuses attempts as draining from this time on; zero
  /// for never.
  Duration DrainAt{};
  /// Maximum number of retries of an order by its caller, under the same key.
  std::uint32_t CallerRetries = 0;
  RequestFaults Faults;
  RequestProtections Protections;
};

/// The results of a run.
struct RequestWorldReport {
  std::uint64_t Arrived = 0;
  std::uint64_t Answered = 0;
  std::uint64_t AnsweredInTime = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Retained = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Orders = 0;
  std::uint64_t OrdersRun = 0;
  std::uint64_t RunTwice = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t WrongCaller = 0;
  std::uint64_t TruncatedAsComplete = 0;
  std::uint64_t NeverAnswered = 0;
  std::uint64_t SlotsExceeded = 0;
  std::uint64_t RefusedDraining = 0;
  std::uint64_t StoreWrites = 0;
  std::uint64_t PeerMessages = 0;
  std::uint64_t PeerEntries = 0;
  double SlotUtilization = 0;
  Duration LastWorkAfterDrain{};
  std::vector<Duration> Latencies;
  std::map<Reason, std::uint64_t> Refusals;

  /// The quantile \p Share (0 to 1) of the latency of answers in time.
  Duration latencyQuantile(double Share) const;
};

/// The simulated deployment.
class RequestWorld {
public:
  explicit RequestWorld(const RequestWorldOptions &Options);
  RequestWorldReport run();

private:
  struct Daemon {
    PeerInfo Info;
    Incarnation CurrentIncarnation;
    std::unique_ptr<RequestPlane> Plane;
    TimePoint PausedUntil;
    std::optional<TimePoint> TickAt;
  };
  /// One caller's request, with its retries under the same key.
  struct Caller {
    IdempotencyKey Key;
    bool Order = false;
    std::uint32_t Submissions = 0;
    std::size_t Daemon = 0;
    Incarnation DaemonIncarnation;
    TimePoint SubmittedAt;
    TimePoint Deadline;
    bool Done = false;
    std::uint32_t Runs = 0;
  };
  /// An attempt in flight and the daemon incarnation that sent it.
  struct InFlightAttempt {
    std::size_t Daemon;
    Incarnation DaemonIncarnation;
    SendAttempt SendAction;
  };

  void startDaemon(std::size_t Index);
  void deliver(std::size_t Index, Incarnation ExpectedIncarnation,
               const RequestEvent &Event);
  void planTick(std::size_t Index);
  void planArrival();
  void planFaults();
  void crashDaemon(std::size_t Index);
  void submit(std::uint64_t CallerIndex);
  void resubmit(std::uint64_t CallerIndex, Duration Delay);

  void perform(std::size_t Index, const SendAttempt &Action);
  void perform(std::size_t Index, const CancelAttempt &Action);
  void perform(std::size_t Index, const Answer &Action);
  void perform(std::size_t Index, const RecordClaims &Action);
  void perform(std::size_t Index, const OpenClaimLog &Action);
  void perform(std::size_t Index, const LoadClaims &Action);
  void perform(std::size_t Index, const SendPeerMessage &Action);
  void perform(std::size_t Index, const RetryCounted &Action);
  void perform(std::size_t Index, const Drained &Action);

  void arriveAtEndpoint(const InFlightAttempt &Value);
  void finishRun(const InFlightAttempt &Value);
  void returnAnswer(const InFlightAttempt &Value, AttemptEnd End, int Status);
  void endAttempt(const InFlightAttempt &Value, AttemptEnd End, int Status);
  Duration networkDelay(std::size_t Daemon, const DomainId &Domain);
  void storeCall(std::size_t Index, const std::function<RequestEvent()> &Call,
                 const RequestEvent &FailureEvent);
  RequestWorldReport finish();

  RequestWorldOptions Options;
  Random Rng;
  VirtualClock Clock;
  std::shared_ptr<Configuration> Config;
  std::vector<Daemon> Daemons;
  std::map<EndpointId, FakeEndpoint> Endpoints;
  FakeClaimStore Store;
  TimePoint OutageUntil;
  std::vector<Caller> Callers;
  /// The index of the caller by request.
  std::map<RequestId, std::uint64_t> CallersByRequest;
  /// The request that the answer of an attempt belongs to, and whether the
  /// answer is truncated.
  struct AttemptRecord {
    RequestId Request;
    bool Truncated = false;
  };
  std::map<std::tuple<std::size_t, Incarnation, AttemptId>, AttemptRecord>
      AttemptRecords;
  std::map<EndpointId, std::map<std::pair<std::size_t, Incarnation>, AttemptId>>
      LatestAttempts;
  std::set<RequestId> RanRequests;
  std::set<RequestId> RequestsReportedNotRun;
  std::set<RequestId> AnsweredRequests;
  std::uint64_t LastRequest = 0;
  bool ArrivalsEnabled = true;
  TimePoint StartTime = Clock.now();
  RequestWorldReport Report;
};

} // namespace banyanworks

#endif
