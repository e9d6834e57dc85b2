/// \file
/// Defines the JSON encodings of identifiers, durations, resources and
/// enumerations, for the codecs of the model. Include it in .cpp files only.
#ifndef BANYANWORKS_MODEL_JSONFIELDS_H
#define BANYANWORKS_MODEL_JSONFIELDS_H

#include "base/Error.h"
#include "base/Reason.h"
#include "base/StrongType.h"
#include "base/Time.h"
#include "base/Units.h"
#include "model/EnumNames.h"

#include <concepts>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace nlohmann {

template <typename Tag> struct adl_serializer<banyanworks::Name<Tag>> {
  static void to_json(json &Out, const banyanworks::Name<Tag> &Id) {
    Out = Id.str();
  }
  static void from_json(const json &In, banyanworks::Name<Tag> &Id) {
    Id = banyanworks::Name<Tag>(In.get<std::string>());
  }
};

/// Encodes numbers as strings, since JSON parsers may round 64-bit numbers.
template <typename Tag> struct adl_serializer<banyanworks::Number<Tag>> {
  static void to_json(json &Out, const banyanworks::Number<Tag> &Id) {
    Out = std::to_string(Id.value());
  }
  static void from_json(const json &In, banyanworks::Number<Tag> &Id) {
    std::size_t Read = 0;
    auto Text = In.get<std::string>();
    auto Value = std::stoull(Text, &Read);
    if (Read != Text.size())
      throw std::invalid_argument("'" + Text + "' is not a number");
    Id = banyanworks::Number<Tag>(Value);
  }
};

/// Encodes durations in microseconds.
template <> struct adl_serializer<banyanworks::Duration> {
  static void to_json(json &Out, const banyanworks::Duration &Value) {
    Out = Value.count();
  }
  static void from_json(const json &In, banyanworks::Duration &Value) {
    Value = banyanworks::Duration(In.get<std::int64_t>());
  }
};

template <> struct adl_serializer<banyanworks::Resources> {
  static void to_json(json &Out, const banyanworks::Resources &Amount) {
    Out = {{"milli_cores", Amount.MilliCores},
           {"memory_mib", Amount.MemoryMiB},
           {"accelerators", Amount.Accelerators}};
  }
  static void from_json(const json &In, banyanworks::Resources &Amount) {
    In.at("milli_cores").get_to(Amount.MilliCores);
    In.at("memory_mib").get_to(Amount.MemoryMiB);
    In.at("accelerators").get_to(Amount.Accelerators);
  }
};

/// Encodes enumerators of the model by their external names.
template <typename Enum>
requires requires(Enum Value) { banyanworks::enumNames(Value); }
struct adl_serializer<Enum> {
  static void to_json(json &Out, const Enum &Value) {
    Out = std::string(banyanworks::enumName(Value));
  }
  static void from_json(const json &In, Enum &Value) {
    auto Text = In.get<std::string>();
    auto Found = banyanworks::enumFromName<Enum>(Text);
    if (!Found)
      throw std::invalid_argument("'" + Text + "' is none of " +
                                  banyanworks::enumChoices<Enum>());
    Value = *Found;
  }
};

} // namespace nlohmann

namespace banyanworks {

/// Parses \p Text and passes it to \p Decode. Converts exceptions of either to
/// an Outcome with Reason::InvalidArgument.
template <typename Function>
auto decodeJson(std::string_view Text, Function Decode)
    -> Outcome<std::invoke_result_t<Function, const nlohmann::json &>> {
  try {
    return Decode(nlohmann::json::parse(Text));
  } catch (const std::exception &Exception) {
    return fail(Reason::InvalidArgument, Exception.what());
  }
}

} // namespace banyanworks

#endif
