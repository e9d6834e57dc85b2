/// \file
/// Defines RequestPlane, what a simulated daemon routes with: the router of
/// the library, or the naive one that it is compared with.
#ifndef BANYANWORKS_TEST_SUPPORT_REQUESTPLANE_H
#define BANYANWORKS_TEST_SUPPORT_REQUESTPLANE_H

#include "requests/RequestRouter.h"

#include <memory>
#include <optional>
#include <vector>

namespace banyanworks {

/// The part of RequestRouter that a daemon drives.
class RequestPlane {
public:
  virtual ~RequestPlane() = default;
  virtual std::vector<RequestAction> handle(TimePoint Now,
                                            const RequestEvent &Event) = 0;
  virtual std::optional<TimePoint> nextDeadline() const = 0;
};

/// The library's router.
std::unique_ptr<RequestPlane> makeRouterPlane(const RouterSettings &Settings);

/// Round robin over all endpoints, three retries after any failure, no claims,
/// no shares, no admission.
std::unique_ptr<RequestPlane>
makeRoundRobinPlane(const RouterSettings &Settings);

} // namespace banyanworks

#endif
