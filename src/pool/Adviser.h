/// \file
/// Defines Adviser, the interface to the service that decides on which workers
/// a step may run.
#ifndef BANYANWORKS_POOL_ADVISER_H
#define BANYANWORKS_POOL_ADVISER_H

#include "pool/AdviceCache.h"

#include <functional>

namespace banyanworks::pool {

/// Calls \p Done exactly once for each request, from the event loop.
class Adviser {
public:
  virtual ~Adviser() = default;

  virtual void ask(const AdviceRequest &Request,
                   std::function<void(AdviceResponse)> Done) = 0;
};

} // namespace banyanworks::pool

#endif
