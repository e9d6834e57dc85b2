/// \file
/// Defines StoreCommand, with which a state machine requests a store operation;
/// the outcome returns with the same tag.
#ifndef BANYANWORKS_STATE_STORECOMMAND_H
#define BANYANWORKS_STATE_STORECOMMAND_H

#include "state/StoreClient.h"

#include <cstdint>

namespace banyanworks {

/// Identifies the operation of a state machine that an outcome belongs to.
using StoreTag = Number<struct StoreTagTag>;

/// A request for the store client, which must complete within \ref Timeout.
struct StoreCommand {
  StoreTag Tag;
  StoreRequest Request;
  Duration Timeout{};
};

} // namespace banyanworks

#endif
