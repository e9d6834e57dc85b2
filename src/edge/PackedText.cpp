/// \file
/// Implements the compressed form: the length, a colon, and the deflated text
/// in Base64.
#include "edge/PackedText.h"

#include "base/Check.h"
#include "base/Reason.h"

#include <charconv>

#include <orcania.h>
#include <zlib.h>

namespace banyanworks {

namespace {

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

unsigned char *bytes(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

std::string encodeBase64(std::string_view Raw) {
  std::size_t Length = 0;
  o_base64_encode(bytes(Raw), Raw.size(), nullptr, &Length);
  std::string Text(Length, '\0');
  o_base64_encode(bytes(Raw), Raw.size(), bytes(Text), &Length);
  Text.resize(Length);
  return Text;
}

bool decodeBase64(std::string_view Text, std::string &Raw) {
  std::size_t Length = 0;
  Raw.assign(Text.size(), '\0');
  if (!o_base64_decode(bytes(Text), Text.size(), bytes(Raw), &Length))
    return false;
  Raw.resize(Length);
  return true;
}

tl::unexpected<Error> damagedTextError() {
  return fail(Reason::InvalidArgument, "the packed text is damaged");
}

} // namespace

std::string packText(std::string_view Text) {
  uLongf Length = compressBound(Text.size());
  std::string Deflated(Length, '\0');
  int Status = compress2(bytes(Deflated), &Length, bytes(Text), Text.size(),
                         Z_BEST_SPEED);
  BANYANWORKS_CHECK(Status == Z_OK,
                    "the output buffer for the compression is too small");
  Deflated.resize(Length);
  return std::to_string(Text.size()) + ":" + encodeBase64(Deflated);
}

Outcome<std::string> unpackText(std::string_view Packed) {
  std::size_t Colon = Packed.find(':');
  if (Colon == std::string_view::npos)
    return damagedTextError();
  std::size_t Length = 0;
  const char *End = Packed.data() + Colon;
  auto [ParsedEnd, Fault] = std::from_chars(Packed.data(), End, Length);
  if (Fault != std::errc() || ParsedEnd != End || Length > MaxUnpackedBytes)
    return damagedTextError();
  std::string Deflated;
  if (!decodeBase64(Packed.substr(Colon + 1), Deflated))
    return damagedTextError();
  std::string Text(Length, '\0');
  uLongf UnpackedLength = Length;
  int Status = uncompress(bytes(Text), &UnpackedLength, bytes(Deflated),
                          Deflated.size());
  if (Status != Z_OK || UnpackedLength != Length)
    return damagedTextError();
  return Text;
}

} // namespace banyanworks
