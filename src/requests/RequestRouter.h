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

/// An endpoint as operators see it.
struct EndpointView {
  EndpointId Endpoint;
  DomainId Domain;
  std::string Address;
  std::uint32_t Slots = 0;
  /// Slots that this daemon holds, and attempts that it runs.
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

  /// Takes an event at that time and returns what is to be done, in order.
  std::vector<RequestAction> handle(TimePoint Now, const RequestEvent &Event);

  /// When the router wants its next Tick; none if nothing waits.
  std::optional<TimePoint> nextDeadline() const;

  std::vector<EndpointView> endpoints() const;
  RouterView view() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace banyanworks

#endif
