/// \file
/// Implements the subcommand "call".
#include "cli/Commands.h"
#include "cli/Session.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <CLI/CLI.hpp>

namespace banyanworks {

namespace {

struct CallOptions {
  std::string Service;
  std::string Method;
  std::string Key;
  std::string Data;
};

std::string readData(const std::string &Path) {
  std::ostringstream Text;
  if (Path == "-") {
    Text << std::cin.rdbuf();
  } else if (!Path.empty()) {
    std::ifstream In(Path, std::ios::binary);
    Text << In.rdbuf();
  }
  return Text.str();
}

int callMethod(Session &Api, const CallOptions &Options) {
  ApiCall Post;
  Post.Verb = "POST";
  Post.Path = "/v1/services/" + Options.Service + "/methods/" + Options.Method;
  Post.Body = readData(Options.Data);
  // A request with an idempotency key runs at most once, so it may be resent.
  Post.Repeatable = !Options.Key.empty();
  if (!Options.Key.empty())
    Post.Headers["idempotency-key"] = Options.Key;
  ApiAnswer Answer = Api.call(Post);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  std::cout << Answer.Body << '\n';
  return 0;
}

} // namespace

void addCallCommand(CLI::App &Program, Session &Api) {
  CLI::App *Command = Program.add_subcommand(
      "call", "send a request to a service and print the answer");
  auto Options = std::make_shared<CallOptions>();
  Command->add_option("service", Options->Service)->required();
  Command->add_option("method", Options->Method)->required();
  Command->add_option(
      "--key", Options->Key,
      "idempotency key; required unless the method is repeatable");
  Command->add_option("--data", Options->Data,
                      "file with the request body; - for standard input");
  Command->footer("Example:\n  banyanworks call slate-orders order --key "
                  "order-17 --data order.json");
  setAction(*Command, [Options, &Api] { return callMethod(Api, *Options); });
}

} // namespace banyanworks
