/// \file
/// Defines TomlReader, which reads the fields of one TOML table, checks their
/// types and ranges, and reports each error with its location. Include it in
/// .cpp files only, since it includes the TOML library's header.
#ifndef BANYANWORKS_MODEL_TOMLREADER_H
#define BANYANWORKS_MODEL_TOMLREADER_H

#include "base/Time.h"
#include "model/Diagnostic.h"
#include "model/EnumNames.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace banyanworks {

/// Parses the text of a file. On errors, adds them to \p Diagnostics and
/// returns nullopt.
std::optional<toml::table> parseToml(const std::string &Text,
                                     const std::string &File,
                                     std::vector<Diagnostic> &Diagnostics);

/// Reads the fields of one table. An absent key yields the default. Each read
/// registers its key as known; reportUnknownKeys() reports the others.
class TomlReader {
public:
  TomlReader(const toml::table &Table, std::string File,
             std::vector<Diagnostic> &Diagnostics)
      : Table(Table), File(std::move(File)), Diagnostics(Diagnostics) {}

  bool has(std::string_view Key) const { return Table.contains(Key); }

  /// Reads a name that satisfies isValidName().
  std::optional<std::string> name(std::string_view Key);
  std::string requiredName(std::string_view Key);
  std::string string(std::string_view Key, std::string Default);
  bool boolean(std::string_view Key, bool Default);
  std::int64_t integer(std::string_view Key, std::int64_t Min, std::int64_t Max,
                       std::int64_t Default);
  double number(std::string_view Key, double Min, double Max, double Default);
  Duration duration(std::string_view Key, Duration Default);
  /// Reads a size with its unit, in bytes.
  std::uint64_t bytes(std::string_view Key, std::uint64_t Default);
  std::vector<std::string> stringArray(std::string_view Key);

  template <typename Enum> Enum choice(std::string_view Key, Enum Default) {
    auto Text = optionalString(Key);
    if (!Text)
      return Default;
    if (auto Value = enumFromName<Enum>(*Text))
      return *Value;
    report(Key, "'" + *Text + "' is not a value of '" + std::string(Key) + "'",
           "use " + enumChoices<Enum>());
    return Default;
  }

  /// Calls \p Visit with the name and a reader of each sub-table of \p Key, and
  /// reports the keys that \p Visit did not read.
  void visitTables(
      std::string_view Key,
      const std::function<void(const std::string &, TomlReader &)> &Visit);
  /// Like visitTables(), for each table of the array at \p Key.
  void visitTableArray(std::string_view Key,
                       const std::function<void(TomlReader &)> &Visit);
  /// Like visitTables(), for the single table at \p Key.
  void visitTable(std::string_view Key,
                  const std::function<void(TomlReader &)> &Visit);

  /// Returns the location of a key, or of the table if the key is absent.
  SourceLocation locationOf(std::string_view Key) const;
  void report(std::string_view Key, std::string Message, std::string Hint);
  /// Returns the keys of the table in alphabetical order.
  std::vector<std::string> keys() const;
  /// Reports the keys that have not been read.
  void reportUnknownKeys();

private:
  const toml::node *findNode(std::string_view Key);
  std::optional<std::string> optionalString(std::string_view Key);
  void visitNode(
      const std::string &Name, const toml::node &Node,
      const std::function<void(const std::string &, TomlReader &)> &Visit);

  const toml::table &Table;
  std::string File;
  std::vector<Diagnostic> &Diagnostics;
  std::vector<std::string> KnownKeys;
};

/// Returns true if \p Text consists of 1 to 63 letters, digits, '-', '_' and
/// '.'.
bool isValidName(std::string_view Text);

} // namespace banyanworks

#endif
