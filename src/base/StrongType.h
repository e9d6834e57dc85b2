/// \file
/// Defines Name and Number, the templates of identifier types. Each kind of
/// identifier is a distinct type, so that the compiler rejects mix-ups.
#ifndef BANYANWORKS_BASE_STRONGTYPE_H
#define BANYANWORKS_BASE_STRONGTYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace banyanworks {

/// A string identifier; \p Tag makes each kind a distinct type.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  bool operator==(const Name &) const = default;
  std::strong_ordering operator<=>(const Name &Other) const {
    return Text <=> Other.Text;
  }

private:
  std::string Text;
};

/// An unsigned 64-bit number; \p Tag makes each kind a distinct type.
template <typename Tag> class Number {
public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t Value) : Value(Value) {}

  constexpr std::uint64_t value() const { return Value; }
  constexpr Number next() const { return Number(Value + 1); }

  constexpr bool operator==(const Number &) const = default;
  constexpr std::strong_ordering operator<=>(const Number &Other) const {
    return Value <=> Other.Value;
  }

private:
  std::uint64_t Value = 0;
};

} // namespace banyanworks

template <typename Tag> struct std::hash<banyanworks::Name<Tag>> {
  std::size_t operator()(const banyanworks::Name<Tag> &Id) const {
    return std::hash<std::string>()(Id.str());
  }
};

template <typename Tag> struct std::hash<banyanworks::Number<Tag>> {
  std::size_t operator()(const banyanworks::Number<Tag> &Id) const {
    return std::hash<std::uint64_t>()(Id.value());
  }
};

#endif
