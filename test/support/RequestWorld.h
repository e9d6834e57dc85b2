/// \file
/// Defines RequestWorld: routers, endpoints, a claim store and callers in
/// virtual time, with seeded faults, and what came of it.
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

/// Rates of faults, each as a probability by event unless said otherwise.
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
  /// Deaths and pauses a second over all daemons, and store outages a second.
  double DeathsPerSecond = 0;
  double PausesPerSecond = 0;
  double OutagesPerSecond = 0;
  Duration LongestPause = std::chrono::seconds(4);
  Duration LongestOutage = std::chrono::seconds(3);
};

/// Protections that a run can be without, to show that they are needed.
struct RequestProtections {
  /// False: round robin, three retries, no claims.
  bool Router = true;
  /// False: the service declares its orders as repeatable.
  bool Claims = true;
  /// False: the store overwrites instead of comparing.
  bool ConditionalWrites = true;
  /// False: an answer counts for the latest attempt on its connection.
  bool AttemptIdentity = true;
  /// False: the end of a truncated answer is not noticed.
  bool TruncationDetected = true;
  /// False: an attempt without answer is taken for not sent.
  bool SendTracked = true;
};

/// One run.
struct RequestWorldOptions {
  std::uint64_t Seed = 1;
  Duration Length = std::chrono::seconds(10);
  /// Answers count towards goodput and latency from here on.
  Duration Warmup = std::chrono::seconds(0);
  std::uint32_t Domains = 3;
  std::uint32_t Daemons = 8;
  std::uint32_t Endpoints = 48;
  std::uint32_t Slots = 8;
  Duration ServiceTime = std::chrono::milliseconds(50);
  /// The spread of service times, as a part of their mean.
  double ServiceSpread = 0.5;
  Duration Deadline = std::chrono::seconds(2);
  /// Arrivals a second over all daemons.
  double Rate = 1000;
  /// All arrivals go to the first daemon.
  bool SingleEntryDaemon = false;
  /// The part of the requests that is not repeatable.
  double Orders = 0;
  /// The first endpoints are this many times slower.
  std::uint32_t SlowEndpoints = 0;
  double SlowFactor = 10;
  /// The first endpoints fail every attempt: half without, half with an answer.
  std::uint32_t FailingEndpoints = 0;
  /// From then on the first endpoint answers 'draining'; zero for never.
  Duration DrainAt{};
  /// Callers repeat orders under the same key, up to this often.
  std::uint32_t CallerRetries = 0;
  RequestFaults Faults;
  RequestProtections Protections;
};

/// What came of a run.
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
  std::uint64_t TruncatedAsWhole = 0;
  std::uint64_t NeverAnswered = 0;
  std::uint64_t SlotsExceeded = 0;
  std::uint64_t RefusedDraining = 0;
  std::uint64_t StoreWrites = 0;
  std::uint64_t PeerMessages = 0;
  std::uint64_t PeerEntries = 0;
  double SlotsUsed = 0;
  Duration LastWorkAfterDrain{};
  std::vector<Duration> Latencies;
  std::map<Reason, std::uint64_t> Refusals;

  /// The latency that \p Share of the whole answers kept to.
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
  /// One caller's request, tried under one key through several daemons.
  struct Caller {
    IdempotencyKey Key;
    bool Order = false;
    std::uint32_t Tries = 0;
    std::size_t Daemon = 0;
    Incarnation DaemonIncarnation;
    TimePoint SubmittedAt;
    TimePoint Deadline;
    bool Done = false;
    std::uint32_t Runs = 0;
  };
  /// An attempt on its way, under the daemon's process that sent it.
  struct InFlightAttempt {
    std::size_t Daemon;
    Incarnation DaemonIncarnation;
    SendAttempt Sent;
  };

  void startDaemon(std::size_t Index);
  void deliver(std::size_t Index, Incarnation Life, const RequestEvent &Event);
  void planTick(std::size_t Index);
  void planArrival();
  void planFaults();
  void crashDaemon(std::size_t Index);
  void submit(std::uint64_t CallerIndex);
  void resubmit(std::uint64_t CallerIndex, Duration After);

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
                 const RequestEvent &Lost);
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
  /// The caller behind each request, by daemon process and request.
  std::map<RequestId, std::uint64_t> CallerOf;
  /// Attempts by daemon process: whose answer they carry, and if it is whole.
  struct AttemptRecord {
    RequestId Request;
    bool Truncated = false;
  };
  std::map<std::tuple<std::size_t, Incarnation, AttemptId>, AttemptRecord>
      AttemptRecords;
  std::map<EndpointId, std::map<std::pair<std::size_t, Incarnation>, AttemptId>>
      LatestAttempts;
  std::set<RequestId> RanRequests;
  std::set<RequestId> SaidNotRun;
  std::set<RequestId> AnsweredRequests;
  std::uint64_t LastRequest = 0;
  bool Arriving = true;
  TimePoint Begin = Clock.now();
  RequestWorldReport Report;
};

} // namespace banyanworks

#endif
