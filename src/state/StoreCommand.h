/// \file
/// Defines StoreAsk, by which a state machine asks for an operation on the
/// store; the outcome comes back under the same tag.
#ifndef BANYANWORKS_STATE_STORECOMMAND_H
#define BANYANWORKS_STATE_STORECOMMAND_H

#include "state/StoreClient.h"

#include <cstdint>

namespace banyanworks {

/// Which of a machine's operations an outcome belongs to.
using StoreTag = Number<struct StoreTagTag>;

/// An operation for the store client, to end within the limit.
struct StoreCommand {
  StoreTag Tag;
  StoreRequest Request;
  Duration Timeout{};
};

} // namespace banyanworks

#endif
