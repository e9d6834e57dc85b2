/// \file
/// AsyncHttpClient tells how far each call got, whatever the server does, and
/// keeps what arrived in time.
#include "edge/AsyncHttpClient.h"
#include "edge/EventLoop.h"
#include "edge/HttpClient.h"
#include "support/ScriptedServer.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace banyanworks;
using namespace banyanworks::testing;
using namespace std::chrono_literals;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::size_t MostIdle = 4;

/// A client and a server in one loop, and the answers in their order.
struct Rig {
  EventLoop Loop;
  ScriptedServer Server;
  AsyncHttpClient Client;
  std::vector<HttpAnswer> Answers;

  explicit Rig(ScriptedServer::Script Script)
      : Server(Loop, std::move(Script)), Client(Loop, MostIdle) {}

  HttpCall call() const {
    HttpCall Call;
    Call.Verb = "POST";
    Call.Address = Server.address();
    Call.Path = "/order";
    Call.Body = "{}";
    Call.Timeout = 1s;
    return Call;
  }

  /// Makes the call and runs the loop until it is answered.
  HttpAnswer answerTo(const HttpCall &Call) {
    Loop.after(0ms, [this, Call] {
      Client.call(Call, [this](HttpAnswer Answer) {
        Answers.push_back(std::move(Answer));
        Loop.stop();
      });
    });
    Loop.run();
    return Answers.back();
  }
};

ScriptedServer::Script always(const std::string &Bytes) {
  return [Bytes](const std::string &) { return ScriptedReply{Bytes}; };
}

} // namespace

Test(http_client_faults, whole_answers_share_a_connection) {
  Rig World{always(Ok)};
  cr_assert(World.answerTo(World.call()).succeeded());
  HttpAnswer Second = World.answerTo(World.call());
  cr_assert(Second.succeeded());
  cr_assert_str_eq(Second.Body.c_str(), "ok");
  cr_assert_eq(World.Server.accepted(), 1U);
}

Test(http_client_faults, answer_that_waits_unread_is_not_timed_out) {
  // The process is busy past the end of the call, with the answer in its
  // socket. The server has told it, and acts on that.
  Rig World([](const std::string &) {
    std::this_thread::sleep_for(150ms);
    return ScriptedReply{Ok};
  });
  HttpCall Call = World.call();
  Call.Timeout = 50ms;
  cr_assert(World.answerTo(Call).succeeded());
}

Test(http_client_faults, silent_server_ends_the_call_and_its_connections) {
  Rig World([](const std::string &) { return ScriptedReply{}; });
  HttpCall Call = World.call();
  Call.Timeout = 30ms;
  HttpAnswer Answer = World.answerTo(Call);
  cr_assert(Answer.Progress == CallProgress::NoWholeAnswer);
  cr_assert_eq(Answer.Status, 0);
  cr_assert_eq(World.Client.connections(), 0U);
}

Test(http_client_faults, call_on_a_connection_closed_meanwhile_is_repeated) {
  Rig World{always(Ok)};
  World.answerTo(World.call());
  // Both ends act in the same turn, so that the call leaves first.
  World.Loop.after(0ms, [&World] { World.Server.closeConnections(); });
  cr_assert(World.answerTo(World.call()).succeeded());
  cr_assert_eq(World.Server.accepted(), 2U);
}

Test(http_client_faults, call_that_may_leave_once_is_not_repeated) {
  unsigned Seen = 0;
  Rig World([&Seen](const std::string &) {
    return ++Seen == 1 ? ScriptedReply{Ok} : ScriptedReply{"", true};
  });
  HttpCall Call = World.call();
  Call.SendOnce = true;
  cr_assert(World.answerTo(Call).succeeded());
  cr_assert(World.answerTo(Call).Progress == CallProgress::NoWholeAnswer);
  cr_assert_eq(Seen, 2U);
}

Test(http_client_faults, repeatable_call_is_sent_again_once) {
  unsigned Seen = 0;
  Rig World([&Seen](const std::string &) {
    return ++Seen == 2 ? ScriptedReply{"", true} : ScriptedReply{Ok};
  });
  cr_assert(World.answerTo(World.call()).succeeded());
  cr_assert(World.answerTo(World.call()).succeeded());
  cr_assert_eq(Seen, 3U);
}

Test(http_client_faults, unrepeatable_call_uses_a_connection_of_its_own) {
  Rig World{always(Ok)};
  HttpCall Call = World.call();
  Call.Repeatable = false;
  cr_assert(World.answerTo(Call).succeeded());
  cr_assert(World.answerTo(Call).succeeded());
  cr_assert_eq(World.Server.accepted(), 2U);
}

Test(http_client_faults, answer_cut_in_its_body_is_not_whole) {
  Rig World([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                         true};
  });
  HttpAnswer Answer = World.answerTo(World.call());
  cr_assert(Answer.Progress == CallProgress::NoWholeAnswer);
  cr_assert(Answer.Body.empty());
}

Test(http_client_faults, answer_without_a_length_is_not_whole) {
  Rig World([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\n\r\nok", true};
  });
  cr_assert(World.answerTo(World.call()).Progress ==
            CallProgress::NoWholeAnswer);
}

Test(http_client_faults, malformed_answer_is_not_whole) {
  Rig World{always("no HTTP at all\r\n\r\n")};
  cr_assert(World.answerTo(World.call()).Progress ==
            CallProgress::NoWholeAnswer);
  cr_assert_eq(World.Client.connections(), 0U);
}

Test(http_client_faults, chunks_and_interim_answers_are_understood) {
  Rig World{always("HTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n"
                   "X-Mark: a\r\n\r\n2\r\nok\r\n3\r\nay!\r\n0\r\n\r\n")};
  HttpAnswer Answer = World.answerTo(World.call());
  cr_assert_eq(Answer.Status, 201);
  cr_assert_str_eq(Answer.Body.c_str(), "okay!");
  cr_assert_str_eq(Answer.Headers["x-mark"].c_str(), "a");
}

Test(http_client_faults, refused_connection_has_sent_nothing) {
  std::string Gone;
  {
    EventLoop Loop;
    ScriptedServer Server(Loop,
                          [](const std::string &) { return ScriptedReply{}; });
    Gone = Server.address();
  }
  Rig World{always(Ok)};
  HttpCall Call = World.call();
  Call.Address = Gone;
  cr_assert(World.answerTo(Call).Progress == CallProgress::NotSent);
}

Test(http_client_faults, malformed_address_and_header_have_sent_nothing) {
  Rig World{always(Ok)};
  HttpCall Call = World.call();
  Call.Address = "nowhere";
  cr_assert(World.answerTo(Call).Progress == CallProgress::NotSent);
  Call = World.call();
  Call.Headers["X-Worker"] = "id\r\nHost: other";
  cr_assert(World.answerTo(Call).Progress == CallProgress::NotSent);
  cr_assert_eq(World.Server.requests(), 0U);
}

Test(http_client_faults, idle_connections_are_bounded) {
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  Rig World{always(Ok)};
  for (std::size_t Number = 0; Number < 2 * MostIdle; ++Number) {
    Servers.push_back(std::make_unique<ScriptedServer>(
        World.Loop, [](const std::string &) { return ScriptedReply{Ok}; }));
    HttpCall Call = World.call();
    Call.Address = Servers.back()->address();
    cr_assert(World.answerTo(Call).succeeded());
  }
  cr_assert_eq(World.Client.connections(), MostIdle);
}
