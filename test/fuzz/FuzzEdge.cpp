/// \file
/// Fuzzes the decoders of HTTP bodies: workers' reports, orders and
/// inventories, peers' messages, the store's answers and packed texts.
#include "base/Check.h"
#include "edge/PackedText.h"
#include "edge/PeerMessageJson.h"
#include "edge/StoreJson.h"
#include "edge/WorkerJson.h"

#include <cstddef>
#include <cstdint>

using namespace banyanworks;

namespace {

/// Checks that a decoded value has a stable encoding: decoding its encoding and
/// encoding it again must yield the same text.
template <typename Encode, typename Decode>
void check(std::string_view Text, Encode ToJson, Decode FromJson) {
  auto Decoded = FromJson(Text);
  if (!Decoded)
    return;
  std::string First = ToJson(*Decoded);
  auto Again = FromJson(First);
  BANYANWORKS_CHECK(Again.has_value() && ToJson(*Again) == First,
                    "the codec must have a stable encoding");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  check(Text, workerReportToJson, workerReportFromJson);
  check(Text, reportAnswerToJson, reportAnswerFromJson);
  check(Text, inventoryToJson, inventoryFromJson);
  check(Text, workerOrderToJson, workerOrderFromJson);
  check(Text, peerMessageToJson, peerMessageFromJson);
  check(Text, claimBatchToJson, claimBatchFromJson);
  check(Text, storeAnswerToJson, storeAnswerFromJson);
  auto Unpacked = unpackText(Text);
  if (Unpacked)
    BANYANWORKS_CHECK(unpackText(packText(*Unpacked)) == *Unpacked,
                      "packing must preserve a text");
  return 0;
}
