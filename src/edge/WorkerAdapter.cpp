/// \file
/// Implements the worker adapter "http-json".
#include "edge/WorkerAdapter.h"

#include "edge/HttpClient.h"
#include "edge/WorkerJson.h"

namespace banyanworks {

namespace {

constexpr Duration OrderTimeout = std::chrono::seconds(2);

class HttpJsonWorker : public WorkerAdapter {
public:
  explicit HttpJsonWorker(HttpClient &Client) : Client(Client) {}

  OrderResult order(const std::string &Address,
                    const WorkerOrder &Order) override {
    HttpCall Call;
    Call.Verb = "POST";
    Call.Address = Address;
    Call.Path = "/orders";
    Call.Body = workerOrderToJson(Order);
    Call.Timeout = OrderTimeout;
    HttpCallResult Answer = Client.call(Call);
    if (!Answer.succeeded())
      return OrderResult::Unknown;
    return orderResultFromJson(Answer.Body).value_or(OrderResult::Unknown);
  }

  Outcome<WorkerInventory> inventory(const std::string &Address,
                                     const WorkerId &Worker) override {
    HttpCall Call;
    Call.Address = Address;
    Call.Path = "/inventory/" + Worker.str();
    Call.Timeout = OrderTimeout;
    HttpCallResult Answer = Client.call(Call);
    if (!Answer.succeeded())
      return fail(Reason::WorkerLost,
                  "the worker did not return its inventory");
    return inventoryFromJson(Answer.Body);
  }

private:
  HttpClient &Client;
};

const WorkerAdapterRegistry::Registration
    Registered("http-json", [](HttpClient &Client) {
      return std::make_unique<HttpJsonWorker>(Client);
    });

} // namespace

} // namespace banyanworks
