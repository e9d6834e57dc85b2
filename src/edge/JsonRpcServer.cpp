/// \file
/// Implements JsonRpcServer on libjson-rpc-cpp.
#include "edge/JsonRpcServer.h"

#include <map>

#include <jsonrpccpp/server.h>

namespace banyanworks {

namespace {

/// A connector without a transport; requests are passed to handle().
class DirectConnector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &, void *) override { return false; }
};

} // namespace

struct JsonRpcServer::Impl : public jsonrpc::IProcedureInvokationHandler {
  DirectConnector Connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
  std::map<std::string, Method> Methods;

  Impl()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    Connector.SetHandler(Protocol.get());
  }

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    Json::FastWriter Writer;
    std::string Text =
        Methods.at(Procedure.GetProcedureName())(Writer.write(Input));
    Json::Reader Reader;
    if (!Reader.parse(Text, Output))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      "no JSON was returned");
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}
};

JsonRpcServer::JsonRpcServer() : Self(new Impl) {}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::add(const std::string &Name, Method Implementation) {
  Self->Methods[Name] = std::move(Implementation);
  Self->Protocol->AddProcedure(
      jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                         static_cast<void *>(nullptr)));
}

std::string JsonRpcServer::handle(const std::string &Request) const {
  std::string Response;
  Self->Protocol->HandleRequest(Request, Response);
  return Response;
}

} // namespace banyanworks
