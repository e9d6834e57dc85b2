/// \file
/// Implements TomlReader.
#include "model/TomlReader.h"

#include "model/Quantity.h"

#include <algorithm>
#include <cctype>

namespace banyanworks {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr const char *NameRule =
    "use 1 to 63 letters, digits, '-', '_' and '.'";

SourceLocation startLocation(const toml::source_region &Region,
                             std::string File) {
  return {std::move(File), Region.begin.line, Region.begin.column};
}

bool isAscii(char Char) {
  return (static_cast<unsigned char>(Char) & 0x80) == 0;
}

/// Returns true for the first byte of a UTF-8 character.
bool beginsCharacter(char Char) {
  return (static_cast<unsigned char>(Char) & 0xC0) != 0x80;
}

/// Replaces the non-ASCII characters of one line by '?', and reports those that
/// are not in a comment. The TOML library's white space tables have undefined
/// behaviour for some non-ASCII characters.
class AsciiLine {
public:
  AsciiLine(std::string_view Line, SourceLocation Location,
            std::vector<Diagnostic> &Diagnostics) {
    for (char Char : Line) {
      if (beginsCharacter(Char))
        ++Location.Column;
      if (isAscii(Char)) {
        trackComment(Char);
        Text += Char;
        continue;
      }
      if (!beginsCharacter(Char))
        continue;
      if (!InComment)
        Diagnostics.push_back({Location, "non-ASCII character",
                               "use non-ASCII characters only in comments"});
      Text += '?';
    }
  }

  const std::string &str() const { return Text; }

private:
  /// Updates the state of quotes and comments.
  void trackComment(char Char) {
    if (InComment)
      return;
    if (Quote != 0) {
      if (Char == Quote)
        Quote = 0;
      return;
    }
    if (Char == '"' || Char == '\'')
      Quote = Char;
    InComment = Char == '#';
  }

  std::string Text;
  char Quote = 0;
  bool InComment = false;
};

/// Returns the text with non-ASCII characters replaced; the locations of the
/// other characters are unchanged.
std::string toAscii(const std::string &Text, const std::string &File,
                    std::vector<Diagnostic> &Diagnostics) {
  if (std::all_of(Text.begin(), Text.end(), isAscii))
    return Text;
  std::string Result;
  SourceLocation Location{File, 1, 0};
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    std::size_t End = std::min(Text.find('\n', Begin), Text.size());
    std::string_view Line(Text.data() + Begin, End - Begin);
    Result += AsciiLine(Line, Location, Diagnostics).str();
    if (End < Text.size())
      Result += '\n';
    Begin = End + 1;
    ++Location.Line;
  }
  return Result;
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Result;
  for (const std::string &Item : Names)
    Result += (Result.empty() ? "" : ", ") + Item;
  return Result;
}

} // namespace

bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Char) {
           return std::isalnum(Char) || Char == '-' || Char == '_' ||
                  Char == '.';
         });
}

std::optional<toml::table> parseToml(const std::string &Text,
                                     const std::string &File,
                                     std::vector<Diagnostic> &Diagnostics) {
  const std::size_t InitialCount = Diagnostics.size();
  std::string Ascii = toAscii(Text, File, Diagnostics);
  if (Diagnostics.size() > InitialCount)
    return std::nullopt;
  try {
    return toml::parse(Ascii);
  } catch (const toml::parse_error &ParseError) {
    Diagnostics.push_back({startLocation(ParseError.source(), File),
                           std::string(ParseError.description()),
                           "correct the TOML syntax"});
    return std::nullopt;
  }
}

const toml::node *TomlReader::findNode(std::string_view Key) {
  KnownKeys.emplace_back(Key);
  return Table.get(Key);
}

SourceLocation TomlReader::locationOf(std::string_view Key) const {
  const toml::node *Node = Table.get(Key);
  return startLocation(Node ? Node->source() : Table.source(), File);
}

void TomlReader::report(std::string_view Key, std::string Message,
                        std::string Hint) {
  Diagnostics.push_back({locationOf(Key), std::move(Message), std::move(Hint)});
}

std::optional<std::string> TomlReader::optionalString(std::string_view Key) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return std::nullopt;
  if (const auto *Value = Node->as_string())
    return Value->get();
  report(Key, "'" + std::string(Key) + "' is not a string", "put it in quotes");
  return std::nullopt;
}

std::optional<std::string> TomlReader::name(std::string_view Key) {
  auto Text = optionalString(Key);
  if (!Text || isValidName(*Text))
    return Text;
  report(Key, "'" + *Text + "' is not a name", NameRule);
  return std::nullopt;
}

std::string TomlReader::requiredName(std::string_view Key) {
  if (auto Text = name(Key))
    return *Text;
  if (!has(Key))
    report(Key, "'" + std::string(Key) + "' is missing",
           "add " + std::string(Key) + " = \"...\"");
  return "";
}

std::string TomlReader::string(std::string_view Key, std::string Default) {
  return optionalString(Key).value_or(std::move(Default));
}

bool TomlReader::boolean(std::string_view Key, bool Default) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return Default;
  if (const auto *Value = Node->as_boolean())
    return Value->get();
  report(Key, "'" + std::string(Key) + "' is not a boolean",
         "use true or false");
  return Default;
}

std::int64_t TomlReader::integer(std::string_view Key, std::int64_t Min,
                                 std::int64_t Max, std::int64_t Default) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return Default;
  const auto *Value = Node->as_integer();
  if (Value && Value->get() >= Min && Value->get() <= Max)
    return Value->get();
  report(Key, "'" + std::string(Key) + "' is not an integer in the valid range",
         "use a whole number from " + std::to_string(Min) + " to " +
             std::to_string(Max));
  return Default;
}

double TomlReader::number(std::string_view Key, double Min, double Max,
                          double Default) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return Default;
  auto Value = Node->value<double>();
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  report(Key, "'" + std::string(Key) + "' is not a number in the valid range",
         "use a number from " + std::to_string(Min) + " to " +
             std::to_string(Max));
  return Default;
}

Duration TomlReader::duration(std::string_view Key, Duration Default) {
  auto Text = optionalString(Key);
  if (!Text)
    return Default;
  if (auto Parsed = parseDuration(*Text))
    return *Parsed;
  report(Key, "'" + *Text + "' is not a duration",
         "use a number with ms, s, m, h or d, such as \"90s\"");
  return Default;
}

std::uint64_t TomlReader::bytes(std::string_view Key, std::uint64_t Default) {
  auto Text = optionalString(Key);
  if (!Text)
    return Default;
  if (auto Size = parseBytes(*Text))
    return *Size;
  report(Key, "'" + *Text + "' is not a size",
         "use a number with B, KiB, MiB, GiB or TiB, such as \"16GiB\"");
  return Default;
}

std::vector<std::string> TomlReader::stringArray(std::string_view Key) {
  std::vector<std::string> Result;
  const toml::node *Node = findNode(Key);
  if (!Node)
    return Result;
  const toml::array *Items = Node->as_array();
  if (!Items) {
    report(Key, "'" + std::string(Key) + "' is not an array",
           "use an array of strings, such as [\"a\", \"b\"]");
    return Result;
  }
  for (const toml::node &Item : *Items) {
    if (const auto *Value = Item.as_string()) {
      Result.push_back(Value->get());
      continue;
    }
    Diagnostics.push_back(
        {startLocation(Item.source(), File),
         "an item of '" + std::string(Key) + "' is not a string",
         "put it in quotes"});
  }
  return Result;
}

void TomlReader::visitNode(
    const std::string &Name, const toml::node &Node,
    const std::function<void(const std::string &, TomlReader &)> &Visit) {
  const toml::table *SubTable = Node.as_table();
  if (!SubTable) {
    Diagnostics.push_back({startLocation(Node.source(), File),
                           "'" + Name + "' is not a table",
                           "use [" + Name + "]"});
    return;
  }
  TomlReader Reader(*SubTable, File, Diagnostics);
  Visit(Name, Reader);
  Reader.reportUnknownKeys();
}

void TomlReader::visitTables(
    std::string_view Key,
    const std::function<void(const std::string &, TomlReader &)> &Visit) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return;
  const toml::table *SubTable = Node->as_table();
  if (!SubTable) {
    report(Key, "'" + std::string(Key) + "' is not a table",
           "use [" + std::string(Key) + ".NAME]");
    return;
  }
  for (const auto &Entry : *SubTable) {
    std::string Name(Entry.first.str());
    if (!isValidName(Name))
      Diagnostics.push_back({startLocation(Entry.second.source(), File),
                             "'" + Name + "' is not a name", NameRule});
    visitNode(Name, Entry.second, Visit);
  }
}

void TomlReader::visitTableArray(
    std::string_view Key, const std::function<void(TomlReader &)> &Visit) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return;
  const toml::array *Items = Node->as_array();
  if (!Items) {
    report(Key, "'" + std::string(Key) + "' is not an array of tables",
           "use [[" + std::string(Key) + "]]");
    return;
  }
  for (const toml::node &Item : *Items)
    visitNode(std::string(Key), Item,
              [&](const std::string &, TomlReader &Reader) { Visit(Reader); });
}

void TomlReader::visitTable(std::string_view Key,
                            const std::function<void(TomlReader &)> &Visit) {
  const toml::node *Node = findNode(Key);
  if (!Node)
    return;
  visitNode(std::string(Key), *Node,
            [&](const std::string &, TomlReader &Reader) { Visit(Reader); });
}

std::vector<std::string> TomlReader::keys() const {
  std::vector<std::string> Result;
  for (const auto &Entry : Table)
    Result.emplace_back(Entry.first.str());
  return Result;
}

void TomlReader::reportUnknownKeys() {
  std::sort(KnownKeys.begin(), KnownKeys.end());
  KnownKeys.erase(std::unique(KnownKeys.begin(), KnownKeys.end()),
                  KnownKeys.end());
  for (const std::string &Key : keys()) {
    if (std::binary_search(KnownKeys.begin(), KnownKeys.end(), Key))
      continue;
    report(Key, "unknown key '" + Key + "'",
           "known keys: " + joinNames(KnownKeys));
  }
}

} // namespace banyanworks
