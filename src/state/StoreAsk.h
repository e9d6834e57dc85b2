/// \file
/// Defines StoreAsk, with which a state machine requests a store operation; the
/// outcome returns with the same tag.
#ifndef BANYANWORKS_STATE_STOREASK_H
#define BANYANWORKS_STATE_STOREASK_H

#include "state/StoreClient.h"

#include <cstdint>

namespace banyanworks {

/// Identifies the operation of a state machine that an outcome belongs to.
using StoreTag = Number<struct StoreTagTag>;

/// A request for the store client, which must complete within \ref Limit.
struct StoreAsk {
  StoreTag Tag;
  StoreRequest Request;
  Duration Limit{};
};

} // namespace banyanworks

#endif
