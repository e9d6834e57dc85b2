/// \file
/// Defines EndpointPool, the choice of an endpoint for each attempt.
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

/// How an attempt counts as evidence about its endpoint.
enum class HealthSignal : std::uint8_t {
  Success,
  Failure,
  Busy,
  Draining,
  None
};

/// The endpoints of a service as this daemon sees them.
class EndpointPool {
public:
  EndpointPool(const RouterSettings &Settings, SlotShares &Shares);

  void setEndpoints(const std::map<EndpointId, Endpoint> &Declared);
  void setStatus(TimePoint Now, const EndpointStatus &Status);
  /// Takes what a peer saw of endpoints.
  void onPeerReport(TimePoint Now, const PeerReport &Report);
  void addToReport(TimePoint Now, PeerReport &Report) const;

  /// The endpoint for the next attempt: near ones first, the better of two
  /// that are drawn at random; none if no leased slot is free.
  std::optional<EndpointId> choose(TimePoint Now,
                                   const std::set<EndpointId> &Excluded);
  void onAttemptStarted(TimePoint Now, const EndpointId &Id);
  /// \p Took is the attempt's latency, \p Usual that of its method.
  void onAttemptEnded(TimePoint Now, const EndpointId &Id, HealthSignal Signal,
                      Duration Latency, Duration MeanLatency);

  /// Spreads the wish for \p Attempts attempts at once over the endpoints.
  void distributeDemand(TimePoint Now, std::uint32_t Attempts,
                        std::uint32_t IdleEndpoints);

  /// Endpoints that take work, and their slots.
  std::size_t countUsable(TimePoint Now) const;
  std::uint32_t usableSlots(TimePoint Now) const;
  /// Slots that this daemon may use now.
  std::uint32_t heldSlots(TimePoint Now) const;
  /// When the first endpoint that was set aside may return.
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
    /// Draining by the platform's list.
    bool ListedDraining = false;
    /// Draining by the endpoint's own answer or a peer's report.
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
