/// \file
/// Implements the parsers of quantities with a unit.
#include "model/Quantity.h"

#include <array>
#include <charconv>
#include <cmath>

namespace banyanworks {

namespace {

struct Unit {
  std::string_view Suffix;
  double Factor;
};

constexpr double MicrosPerSecond = 1e6;
constexpr std::array<Unit, 5> TimeUnits = {
    {{"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}}};
constexpr std::array<Unit, 5> SizeUnits = {{{"KiB", 0x1p10},
                                            {"MiB", 0x1p20},
                                            {"GiB", 0x1p30},
                                            {"TiB", 0x1p40},
                                            {"B", 1}}};
constexpr double MaxSeconds = 10.0 * 365 * 86400;
constexpr double MaxBytes = 0x1p60;

/// Parses a non-negative number followed by a unit, and multiplies it by the
/// factor of the unit.
template <std::size_t Size>
std::optional<double> parseWithUnit(std::string_view Text,
                                    const std::array<Unit, Size> &Units) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Status] = std::from_chars(Text.data(), End, Value);
  if (Status != std::errc() || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  std::string_view Suffix(Rest, End - Rest);
  for (const Unit &Candidate : Units)
    if (Candidate.Suffix == Suffix)
      return Value * Candidate.Factor;
  return std::nullopt;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  auto Seconds = parseWithUnit(Text, TimeUnits);
  if (!Seconds || *Seconds <= 0 || *Seconds > MaxSeconds)
    return std::nullopt;
  return Duration(std::llround(*Seconds * MicrosPerSecond));
}

std::optional<std::uint64_t> parseBytes(std::string_view Text) {
  auto Bytes = parseWithUnit(Text, SizeUnits);
  if (!Bytes || *Bytes > MaxBytes)
    return std::nullopt;
  return static_cast<std::uint64_t>(*Bytes);
}

std::string formatDuration(Duration Value) {
  struct Step {
    std::int64_t Micros;
    const char *Suffix;
  };
  constexpr std::array<Step, 4> Steps = {{{86'400'000'000, "d"},
                                          {3'600'000'000, "h"},
                                          {60'000'000, "m"},
                                          {1'000'000, "s"}}};
  for (const Step &Candidate : Steps) {
    if (Value.count() >= Candidate.Micros &&
        Value.count() % Candidate.Micros == 0)
      return std::to_string(Value.count() / Candidate.Micros) +
             Candidate.Suffix;
  }
  return std::to_string(Value.count() / 1000) + "ms";
}

} // namespace banyanworks
