/// \file
/// Defines Error and Outcome. Operations report errors by return value;
/// exceptions thrown by libraries are caught in the adapters.
#ifndef BANYANWORKS_BASE_ERROR_H
#define BANYANWORKS_BASE_ERROR_H

#include <string>
#include <system_error>
#include <utility>

#include <tl/expected.hpp>

namespace banyanworks {

/// An error: a code that programs compare and a human-readable message.
struct Error {
  std::error_code Code;
  std::string Message;

  Error(std::error_code Code, std::string Message)
      : Code(Code), Message(std::move(Message)) {}
  /// Uses the message of \p Code.
  explicit Error(std::error_code Code) : Code(Code), Message(Code.message()) {}
};

/// A value, or the Error that prevented it.
template <typename T> using Outcome = tl::expected<T, Error>;

/// Builds an Outcome that holds an error.
inline tl::unexpected<Error> fail(std::error_code Code, std::string Message) {
  return tl::unexpected<Error>(Error(Code, std::move(Message)));
}

} // namespace banyanworks

#endif
