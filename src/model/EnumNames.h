/// \file
/// Defines the external names of the model's enumerators, as used in files,
/// JSON and the command line.
#ifndef BANYANWORKS_MODEL_ENUMNAMES_H
#define BANYANWORKS_MODEL_ENUMNAMES_H

#include "model/Configuration.h"
#include "model/Job.h"
#include "model/Worker.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace banyanworks {

/// One row of a table of enumerator names.
template <typename Enum> struct EnumName {
  Enum Value;
  std::string_view Text;
};

/// Returns the table of names of an enumeration, in the order of its values;
/// the argument only selects the overload.
std::span<const EnumName<Adjacency>> enumNames(Adjacency);
std::span<const EnumName<Priority>> enumNames(Priority);
std::span<const EnumName<JobPhase>> enumNames(JobPhase);
std::span<const EnumName<TaskPhase>> enumNames(TaskPhase);
std::span<const EnumName<CellLevel>> enumNames(CellLevel);
std::span<const EnumName<DrainPolicy>> enumNames(DrainPolicy);

/// Returns the external name of \p Value, or "unknown".
template <typename Enum> std::string_view enumName(Enum Value) {
  for (const EnumName<Enum> &Row : enumNames(Value))
    if (Row.Value == Value)
      return Row.Text;
  return "unknown";
}

/// Returns the value named \p Text, if there is one.
template <typename Enum>
std::optional<Enum> enumFromName(std::string_view Text) {
  for (const EnumName<Enum> &Row : enumNames(Enum()))
    if (Row.Text == Text)
      return Row.Value;
  return std::nullopt;
}

/// Lists the names of an enumeration for a message, as "a, b or c".
template <typename Enum> std::string enumChoices() {
  std::string Result;
  auto Rows = enumNames(Enum());
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    if (I > 0)
      Result += I + 1 == Rows.size() ? " or " : ", ";
    Result += Rows[I].Text;
  }
  return Result;
}

} // namespace banyanworks

#endif
