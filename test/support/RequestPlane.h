/// \file
/// Defines RequestPlane, the router interface of a simulated daemon, with two
/// implementations: the library's router and a round-robin baseline.
#ifndef BANYANWORKS_TEST_SUPPORT_REQUESTPLANE_H
#define BANYANWORKS_TEST_SUPPORT_REQUESTPLANE_H

#include "requests/RequestRouter.h"

#include <memory>
#include <optional>
#include <vector>

namespace banyanworks {

/// The interface of RequestRouter that a daemon uses.
class RequestPlane {
public:
  virtual ~RequestPlane() = default;
  virtual std::vector<RequestAction> handle(TimePoint Now,
                                            const RequestEvent &Event) = 0;
  virtual std::optional<TimePoint> nextDeadline() const = 0;
};

/// Returns a plane that uses the library's router.
std::unique_ptr<RequestPlane> makeRouterPlane(const RouterSettings &Settings);

/// Returns the baseline: round robin over all endpoints and three retries after
/// any failure, without claims, slot leases or admission control.
std::unique_ptr<RequestPlane>
makeRoundRobinPlane(const RouterSettings &Settings);

} // namespace banyanworks

#endif
