/// \file
/// Implements JsonRpcClient on libjson-rpc-cpp.
#include "edge/JsonRpcClient.h"

#include <jsonrpccpp/client.h>

namespace banyanworks {

namespace {

class TransportConnector : public jsonrpc::IClientConnector {
public:
  explicit TransportConnector(const JsonRpcClient::Transport &Send)
      : Send(Send) {}

  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    if (!Send(Message, Result))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no complete response");
  }

private:
  const JsonRpcClient::Transport &Send;
};

} // namespace

JsonRpcResult JsonRpcClient::call(const std::string &Method,
                                  const std::string &Parameters) {
  JsonRpcResult Result;
  Json::Value Input;
  Json::Reader Reader;
  if (!Reader.parse(Parameters, Input)) {
    Result.Fault = "the parameters are not valid JSON";
    return Result;
  }
  TransportConnector Connector(Send);
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    Json::FastWriter Writer;
    Result.Value = Writer.write(Client.CallMethod(Method, Input));
    Result.Ok = true;
  } catch (const jsonrpc::JsonRpcException &Fault) {
    Result.Fault = Fault.what();
  }
  return Result;
}

} // namespace banyanworks
