/// \file
/// Defines JsonRpcClient, which calls methods of another daemon over a
/// transport that the caller provides. This header is C++14, because its
/// implementation is compiled as C++14.
#ifndef BANYANWORKS_EDGE_JSONRPCCLIENT_H
#define BANYANWORKS_EDGE_JSONRPCCLIENT_H

#include <functional>
#include <string>

namespace banyanworks {

/// The result of a call.
struct JsonRpcResult {
  bool Ok = false;
  /// The text of the JSON object that the method returned.
  std::string Value;
  std::string Fault;
};

/// Calls methods of one peer.
class JsonRpcClient {
public:
  /// Sends the text of a request and stores the text of the response; false if
  /// there is no complete response.
  using Transport =
      std::function<bool(const std::string &Request, std::string &Response)>;

  explicit JsonRpcClient(Transport Send) : Send(std::move(Send)) {}

  /// Calls \p Method with the text of a JSON object.
  JsonRpcResult call(const std::string &Method, const std::string &Parameters);

private:
  Transport Send;
};

} // namespace banyanworks

#endif
