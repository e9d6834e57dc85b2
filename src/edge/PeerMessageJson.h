/// \file
/// Defines the JSON codec of the messages between routers and of claim batches.
#ifndef BANYANWORKS_EDGE_PEERMESSAGEJSON_H
#define BANYANWORKS_EDGE_PEERMESSAGEJSON_H

#include "base/Error.h"
#include "requests/PeerMessages.h"

#include <string>
#include <string_view>

namespace banyanworks {

std::string peerMessageToJson(const PeerMessage &Message);
Outcome<PeerMessage> peerMessageFromJson(std::string_view Text);

std::string claimBatchToJson(const ClaimBatch &Batch);
Outcome<ClaimBatch> claimBatchFromJson(std::string_view Text);

/// The service that a message concerns.
const ServiceId &serviceOf(const PeerMessage &Message);

} // namespace banyanworks

#endif
