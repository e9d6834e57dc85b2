/// \file
/// Defines EndpointPool, which selects an endpoint for each attempt.
#ifndef BANYANWORKS_REQUESTS_ENDPOINTPOOL_H
#define BANYANWORKS_REQUESTS_ENDPOINTPOOL_H

#include "base/Random.h"
#include "model/Configuration.h"
#include "requests/EndpointHealth.h"
#include "requests/SlotShares.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyanworks {

/// What the end of an attempt indicates about the health of its endpoint.
enum class HealthSignal : std::uint8_t {
  Success,
  Failure,
  Busy,
  Draining,
  None
};

/// The endpoints of one service with their state as known to this daemon.
class EndpointPool {
public:
  EndpointPool(const RouterSettings &Settings, SlotShares &Shares);

  void setEndpoints(const std::map<EndpointId, Endpoint> &Declared);
  void setStatus(TimePoint Now, const EndpointStatus &Status);
  /// Applies a peer's observations of endpoints.
  void onPeerReport(TimePoint Now, const PeerReport &Report);
  void addToReport(TimePoint Now, PeerReport &Report) const;

  /// Selects the endpoint for the next attempt: prefers endpoints of the own
  /// failure domain and takes the less loaded of two random choices. Returns
  /// nothing if no endpoint has a free leased slot.
  std::optional<EndpointId> choose(TimePoint Now,
                                   const std::set<EndpointId> &Excluded);
  void onAttemptStarted(TimePoint Now, const EndpointId &Id);
  /// \p Latency is the duration of the attempt, \p MeanLatency the mean of its
  /// method.
  void onAttemptEnded(TimePoint Now, const EndpointId &Id, HealthSignal Signal,
                      Duration Latency, Duration MeanLatency);

  /// Distributes the demand for \p Attempts concurrent attempts over the
  /// endpoints; at least \p IdleEndpoints slots in sum.
  void distributeDemand(TimePoint Now, std::uint32_t Attempts,
                        std::uint32_t IdleEndpoints);

  /// The number of endpoints that are neither draining nor ejected, and the
  /// attempts that may run there.
  std::size_t countUsable(TimePoint Now) const;
  std::uint32_t usableSlots(TimePoint Now) const;
  /// Slots of these endpoints that this daemon holds.
  std::uint32_t heldSlots(TimePoint Now) const;
  /// When the next ejection ends; nothing if no endpoint is ejected.
  std::optional<TimePoint> nextEjectionEnd(TimePoint Now) const;

  const Endpoint &declared(const EndpointId &Id) const;
  std::vector<EndpointId> ids() const;
  bool draining(TimePoint Now, const EndpointId &Id) const;
  bool isEjected(TimePoint Now, const EndpointId &Id) const;

private:
  struct State {
    Endpoint Declared;
    EndpointHealth Health;
    std::uint32_t InFlight = 0;
    /// Draining according to the latest EndpointStatus.
    bool ListedDraining = false;
    /// Draining according to the endpoint's refusals or a peer's report.
    TimePoint DrainingUntil;
    std::uint64_t DaemonOrder = 0;
  };

  bool isUsable(TimePoint Now, const State &Value) const;
  bool isDraining(TimePoint Now, const State &Value) const;
  double score(const State &Value) const;
  const EndpointId *
  pickLessLoaded(const std::vector<const EndpointId *> &Candidates);
  double medianLatency() const;
  void ejectIfUnhealthy(TimePoint Now, State &Value);

  HealthOptions Options;
  DaemonId Self;
  DomainId Domain;
  SlotShares &Shares;
  Random Rng;
  std::map<EndpointId, State> Endpoints;
};

} // namespace banyanworks

#endif
