/// \file
/// Implements the store adapter "http-json".
#include "edge/StoreAdapter.h"

#include "edge/HttpClient.h"
#include "edge/StoreJson.h"

namespace banyanworks {

namespace {

class HttpJsonStore : public StoreAdapter {
public:
  HttpJsonStore(HttpClient &Client, std::string Address)
      : Client(Client), Address(std::move(Address)) {}

  StoreAnswer call(const StoreRequest &Request, Duration Timeout) override {
    HttpCall Call;
    Call.Verb = "POST";
    Call.Address = Address;
    Call.Path = "/store";
    Call.Body = storeRequestToJson(Request);
    Call.Timeout = Timeout;
    HttpCallResult Answer = Client.call(Call);
    if (!Answer.succeeded())
      return {{}, UnavailableAnswer{}};
    Outcome<StoreAnswer> Decoded = storeAnswerFromJson(Answer.Body);
    if (!Decoded)
      return {{}, UnavailableAnswer{}};
    return *std::move(Decoded);
  }

private:
  HttpClient &Client;
  std::string Address;
};

const StoreAdapterRegistry::Registration
    Registered("http-json", [](HttpClient &Client, const std::string &Address) {
      return std::make_unique<HttpJsonStore>(Client, Address);
    });

} // namespace

} // namespace banyanworks
