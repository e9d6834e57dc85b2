/// \file
/// Fuzzes the core's decoders of data from the store and from peers: gossip
/// messages, configuration manifests and pages of the job journal.
#include "base/Check.h"
#include "state/ConfigurationManifest.h"
#include "state/Gossip.h"
#include "state/JournalPage.h"

#include <cstddef>
#include <cstdint>

using namespace banyanworks;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  if (auto Message = decodeGossip(Text)) {
    auto Again = decodeGossip(encodeGossip(*Message));
    BANYANWORKS_CHECK(Again && *Again == *Message,
                      "the codec must preserve a gossip message");
  }
  const WriteIdentity Writer{Incarnation(1), 2};
  if (auto Manifest = decodeManifest(Text)) {
    auto Again = decodeManifest(encodeManifest(*Manifest, Writer));
    BANYANWORKS_CHECK(Again && *Again == *Manifest,
                      "the codec must preserve a manifest");
  }
  if (auto Page = JournalPage::decode(Text)) {
    auto Again = JournalPage::decode(Page->encode(Writer));
    BANYANWORKS_CHECK(Again && Again->entries() == Page->entries(),
                      "the codec must preserve a journal page");
  }
  return 0;
}
