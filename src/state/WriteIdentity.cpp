/// \file
/// Implements the text encoding of write identities.
#include "state/WriteIdentity.h"

#include <charconv>

namespace banyanworks {

namespace {

constexpr std::size_t HexDigits = 16;
constexpr std::size_t TextLength = 2 * HexDigits + 1;

void appendHex(std::string &Text, std::uint64_t Value) {
  static constexpr char Digits[] = "0123456789abcdef";
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text += Digits[(Value >> Shift) & 15];
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string toText(const WriteIdentity &Identity) {
  std::string Text;
  Text.reserve(TextLength);
  appendHex(Text, Identity.Writer.value());
  Text += '-';
  appendHex(Text, Identity.Sequence);
  return Text;
}

std::optional<WriteIdentity> parseWriteIdentity(std::string_view Text) {
  if (Text.size() != TextLength || Text[HexDigits] != '-')
    return std::nullopt;
  auto Writer = parseHex(Text.substr(0, HexDigits));
  auto Sequence = parseHex(Text.substr(HexDigits + 1));
  if (!Writer || !Sequence)
    return std::nullopt;
  return WriteIdentity{Incarnation(*Writer), *Sequence};
}

std::string stampValue(const WriteIdentity &Identity,
                       std::string_view Payload) {
  std::string Value = toText(Identity);
  Value += '\n';
  Value += Payload;
  return Value;
}

std::optional<StampedValue> parseStampedValue(std::string_view Value) {
  if (Value.size() <= TextLength || Value[TextLength] != '\n')
    return std::nullopt;
  auto Identity = parseWriteIdentity(Value.substr(0, TextLength));
  if (!Identity)
    return std::nullopt;
  return StampedValue{*Identity, Value.substr(TextLength + 1)};
}

} // namespace banyanworks
