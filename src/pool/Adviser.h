/// \file
/// Defines Adviser, which says on which workers a step may run.
#ifndef BANYANWORKS_POOL_ADVISER_H
#define BANYANWORKS_POOL_ADVISER_H

#include "pool/AdviceCache.h"

#include <functional>

namespace banyanworks::pool {

/// Each question is answered exactly once, from the event loop.
class Adviser {
public:
  virtual ~Adviser() = default;

  virtual void ask(const AdviceQuestion &Question,
                   std::function<void(AdviceAnswer)> Done) = 0;
};

} // namespace banyanworks::pool

#endif
