/// \file
/// Implements lookups in a request, parsing of addresses, and escaping of
/// queries.
#include "edge/Http.h"

#include <charconv>

namespace banyanworks {

namespace {

std::string find(const std::map<std::string, std::string> &Values,
                 const std::string &Name) {
  auto Found = Values.find(Name);
  return Found == Values.end() ? std::string() : Found->second;
}

} // namespace

std::string HttpRequest::variable(const std::string &Name) const {
  return find(Variables, Name);
}

std::string HttpRequest::header(const std::string &Name) const {
  return find(Headers, Name);
}

HostPort parseAddress(const std::string &Address) {
  HostPort Result;
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return Result;
  const char *End = Address.data() + Address.size();
  auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Result.Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    Result.Port = 0;
  Result.Host = Address.substr(0, Colon);
  return Result;
}

std::string escapeQuery(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view UnreservedMarks = "-._~";
  std::string Result;
  Result.reserve(Text.size());
  for (unsigned char Letter : Text) {
    // std::isalnum() is not used, because it depends on the locale.
    bool IsUnreserved =
        (Letter >= '0' && Letter <= '9') || (Letter >= 'A' && Letter <= 'Z') ||
        (Letter >= 'a' && Letter <= 'z') ||
        UnreservedMarks.find(static_cast<char>(Letter)) != UnreservedMarks.npos;
    if (IsUnreserved) {
      Result += static_cast<char>(Letter);
      continue;
    }
    Result += '%';
    Result += Digits[Letter / Digits.size()];
    Result += Digits[Letter % Digits.size()];
  }
  return Result;
}

} // namespace banyanworks
