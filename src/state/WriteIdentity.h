/// \file
/// Defines WriteIdentity, by which a writer recognises its own write after the
/// store's answer was lost, and the encoding of store values that carry it.
#ifndef BANYANWORKS_STATE_WRITEIDENTITY_H
#define BANYANWORKS_STATE_WRITEIDENTITY_H

#include "base/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanworks {

/// Identifies one write: the writing process and its sequence number.
struct WriteIdentity {
  Incarnation Writer;
  std::uint64_t Sequence = 0;

  bool operator==(const WriteIdentity &) const = default;
};

/// The identity as 33 characters: two 16-digit hexadecimal numbers, separated
/// by a hyphen.
std::string toText(const WriteIdentity &Identity);

/// Parses the output of toText(); returns nothing if \p Text is malformed.
std::optional<WriteIdentity> parseWriteIdentity(std::string_view Text);

/// Prepends the identity of the write to the payload as its first line.
std::string stampValue(const WriteIdentity &Identity, std::string_view Payload);

/// The parts of a stamped value; the payload refers to the value's storage.
struct StampedValue {
  WriteIdentity Identity;
  std::string_view Payload;
};

/// Splits the output of stampValue(); returns nothing if \p Value has no stamp.
std::optional<StampedValue> parseStampedValue(std::string_view Value);

} // namespace banyanworks

#endif
