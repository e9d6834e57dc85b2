/// \file
/// Implements the subcommand "job".
#include "cli/Commands.h"
#include "cli/Session.h"
#include "model/JobFile.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>
#include <unistd.h>

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr auto PollInterval = std::chrono::milliseconds(200);
/// Consecutive failed polls after which --wait gives up.
constexpr int MaxFailedPolls = 50;

struct SubmitOptions {
  std::string File;
  std::string Key;
  bool Wait = false;
};

/// Generates an idempotency key, so that a submission whose answer was lost can
/// be resent without starting a second job.
std::string randomKey() {
  std::random_device Source;
  std::ostringstream Text;
  Text << "cli-" << std::hex << Source() << Source();
  return Text.str();
}

void printJob(const json &Job) {
  std::cout << "job " << field(Job, "id") << ": " << field(Job, "phase");
  if (field(Job, "reason") != "none")
    std::cout << " (" << field(Job, "reason") << ")";
  std::cout << ", " << field(Job, "members") << " members in "
            << field(Job, "domain") << '\n';
}

bool isFinal(const std::string &Phase) {
  return Phase == "succeeded" || Phase == "failed" || Phase == "cancelled" ||
         Phase == "refused";
}

/// Polls a job until it ends and reports its phase on standard error.
int waitFor(Session &Api, const std::string &Id) {
  ApiCall Get;
  Get.Path = "/v1/jobs/" + Id;
  bool Terminal = isatty(STDERR_FILENO) == 1;
  std::string LastLine;
  int FailedPolls = 0;
  while (true) {
    ApiAnswer Answer = Api.call(Get);
    FailedPolls = Answer.done() ? 0 : FailedPolls + 1;
    if (FailedPolls > MaxFailedPolls) {
      Answer.Code = ExitCode::OutcomeUnknown;
      return Api.reportFailure(Answer);
    }
    json Job = Answer.done() ? Answer.json() : json::object();
    std::string Phase = field(Job, "phase");
    std::string Line = "job " + Id;
    Line += ": " + Phase;
    Line += " (" + field(Job, "reason") + ")";
    if (Answer.done() && Line != LastLine && !Api.asJson()) {
      std::cerr << (Terminal ? "\r\033[K" : "") << Line
                << (Terminal ? "" : "\n") << std::flush;
      LastLine = Line;
    }
    if (isFinal(Phase)) {
      if (Terminal && !Api.asJson())
        std::cerr << '\n';
      if (Api.asJson())
        std::cout << Job.dump() << '\n';
      else
        printJob(Job);
      return Phase == "succeeded" ? 0 : static_cast<int>(ExitCode::Refused);
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

int submit(Session &Api, const SubmitOptions &Options) {
  std::ifstream File(Options.File, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  std::vector<Diagnostic> Diagnostics;
  std::optional<JobRequest> Request =
      readJobFile(Text.str(), Options.File, Diagnostics);
  if (!Request) {
    for (const Diagnostic &Each : Diagnostics)
      std::cerr << Each.str() << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  if (!Options.Key.empty())
    Request->Key = IdempotencyKey(Options.Key);
  if (Request->Key.empty())
    Request->Key = IdempotencyKey(randomKey());
  ApiCall Post;
  Post.Verb = "POST";
  Post.Path = "/v1/jobs";
  Post.Body = jobRequestToJson(*Request);
  ApiAnswer Answer = Api.call(Post);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Options.Wait)
    return waitFor(Api, field(Answer.json(), "id"));
  if (Api.asJson())
    std::cout << Answer.Body << '\n';
  else
    printJob(Answer.json());
  return 0;
}

int list(Session &Api) {
  ApiCall Get;
  Get.Path = "/v1/jobs";
  ApiAnswer Answer = Api.call(Get);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  if (Api.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"JOB", "PHASE", "REASON", "WORKSPACE", "KIND", "MEMBERS", "DOMAIN"}};
  json Body = Answer.json();
  for (const json &Domain : Body.at("domains")) {
    for (const json &Job : Domain.value("jobs", json::array())) {
      Rows.push_back({field(Job, "id"), field(Job, "phase"),
                      field(Job, "reason"), field(Job, "workspace"),
                      field(Job, "kind"), field(Job, "members"),
                      field(Domain, "id")});
    }
  }
  printTable(Rows);
  for (const json &Name : Body.at("unreachable"))
    std::cout << "failure domain not reachable: " << Name.get<std::string>()
              << '\n';
  return 0;
}

int runAction(Session &Api, const std::string &Id, const std::string &Verb,
              const std::string &Suffix) {
  ApiCall Call;
  Call.Verb = Verb;
  Call.Path = "/v1/jobs/" + Id + Suffix;
  ApiAnswer Answer = Api.call(Call);
  if (!Answer.done())
    return Api.reportFailure(Answer);
  json Body = Answer.json();
  if (Api.asJson()) {
    std::cout << Answer.Body << '\n';
    return 0;
  }
  printJob(Body);
  if (Body.contains("places"))
    for (const json &Place : Body.at("places"))
      std::cout << "  on " << field(Place, "worker") << '\n';
  if (Suffix != "/explanation")
    return 0;
  std::cout << "why:   " << field(Body, "message") << '\n'
            << "needs: " << field(Body, "needs") << '\n'
            << "ahead: " << field(Body, "ahead") << " jobs\n";
  if (Body.contains("expected_start_in_ms"))
    std::cout << "start: expected in " << field(Body, "expected_start_in_ms")
              << " ms\n";
  return 0;
}

void addAction(CLI::App &Job, Session &Api, const char *Name, const char *Help,
               const char *Verb, const char *Suffix) {
  CLI::App *Command = Job.add_subcommand(Name, Help);
  auto Id = std::make_shared<std::string>();
  Command->add_option("job", *Id, "id of the job")->required();
  setAction(*Command, [=, &Api] { return runAction(Api, *Id, Verb, Suffix); });
}

} // namespace

void addJobCommands(CLI::App &Program, Session &Api) {
  CLI::App *Job = Program.add_subcommand("job", "jobs");
  Job->require_subcommand(1);
  Job->footer("Examples:\n  banyanworks job submit job.toml --wait\n"
              "  banyanworks job explain 17");
  CLI::App *Submit = Job->add_subcommand("submit", "submit a job file");
  auto Options = std::make_shared<SubmitOptions>();
  Submit->add_option("file", Options->File)
      ->required()
      ->check(CLI::ExistingFile);
  Submit->add_option(
      "--key", Options->Key,
      "idempotency key; a repeated key does not start a second job");
  Submit->add_flag("--wait", Options->Wait, "wait until the job has ended");
  setAction(*Submit, [Options, &Api] { return submit(Api, *Options); });
  setAction(*Job->add_subcommand("list", "list all jobs"),
            [&Api] { return list(Api); });
  addAction(*Job, Api, "show", "show one job", "GET", "");
  addAction(*Job, Api, "cancel", "cancel a job", "POST", "/cancel");
  addAction(*Job, Api, "explain",
            "show why a job waits and what it needs "
            "to start",
            "GET", "/explanation");
}

} // namespace banyanworks
