/// \file
/// Defines RequestRouter, the request plane of one daemon for one service.
#ifndef BANYANWORKS_REQUESTS_REQUESTROUTER_H
#define BANYANWORKS_REQUESTS_REQUESTROUTER_H

#include "requests/RequestEvents.h"
#include "requests/RouterSettings.h"

#include <memory>
#include <optional>
#include <vector>

namespace banyanworks {

/// The state of an endpoint as shown to operators.
struct EndpointView {
  EndpointId Endpoint;
  DomainId Domain;
  std::string Address;
  std::uint32_t Slots = 0;
  /// Slots leased by this daemon, and its attempts in flight.
  std::uint32_t Leased = 0;
  std::uint32_t InFlight = 0;
  bool Draining = false;
  bool Ejected = false;
};

/// The load of one router.
struct RouterView {
  std::size_t Queued = 0;
  std::size_t Open = 0;
  bool ShuttingDown = false;
};

/// Routes one service's requests. Not thread-safe: the daemon keeps each
/// router under its own lock.
class RequestRouter {
public:
  explicit RequestRouter(RouterSettings Settings);
  ~RequestRouter();
  RequestRouter(RequestRouter &&) noexcept;

  /// Handles an event at time \p Now and returns the actions to perform, in
  /// order.
  std::vector<RequestAction> handle(TimePoint Now, const RequestEvent &Event);

  /// When the router needs the next Tick; nothing if no timer is pending.
  std::optional<TimePoint> nextDeadline() const;

  std::vector<EndpointView> endpoints() const;
  RouterView view() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace banyanworks

#endif
