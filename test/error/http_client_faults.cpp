/// \file
/// Checks that AsyncHttpClient reports how far each call got under faults of
/// the server, and accepts answers that arrived in time.
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
constexpr std::size_t MaxIdle = 4;

/// A client and a server in one event loop, and the results in their order.
struct ClientHarness {
  EventLoop Loop;
  ScriptedServer Server;
  AsyncHttpClient Client;
  std::vector<HttpCallResult> Answers;

  explicit ClientHarness(ScriptedServer::Script Script)
      : Server(Loop, std::move(Script)), Client(Loop, MaxIdle) {}

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
  HttpCallResult answerTo(const HttpCall &Call) {
    Loop.schedule(0ms, [this, Call] {
      Client.call(Call, [this](HttpCallResult Answer) {
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

/// Checks that the call ends without a complete answer after at least \p Min
/// and less than \p Max.
void expectTimeout(ClientHarness &Harness, const HttpCall &Call, Duration Min,
                   Duration Max) {
  TimePoint SentAt = Harness.Loop.now();
  cr_assert_not(Harness.answerTo(Call).complete());
  Duration Elapsed = Harness.Loop.now() - SentAt;
  cr_assert(Elapsed >= Min && Elapsed < Max, "%ld us",
            static_cast<long>(Elapsed.count()));
}

} // namespace

Test(http_client_faults, complete_answers_reuse_the_connection) {
  ClientHarness Harness{always(Ok)};
  cr_assert(Harness.answerTo(Harness.call()).succeeded());
  HttpCallResult Second = Harness.answerTo(Harness.call());
  cr_assert(Second.succeeded());
  cr_assert_str_eq(Second.Body.c_str(), "ok");
  cr_assert_eq(Harness.Server.accepted(), 1U);
}

Test(http_client_faults, answer_that_waits_unread_is_not_timed_out) {
  // The process is busy until after the call's timeout, while the answer waits
  // in the socket. The server acts on having sent the answer, so the client
  // must not report a timeout.
  ClientHarness Harness([](const std::string &) {
    std::this_thread::sleep_for(150ms);
    return ScriptedReply{Ok};
  });
  HttpCall Call = Harness.call();
  Call.Timeout = 50ms;
  cr_assert(Harness.answerTo(Call).succeeded());
}

Test(http_client_faults,
     unresponsive_server_times_out_and_loses_its_connections) {
  ClientHarness Harness([](const std::string &) { return ScriptedReply{}; });
  HttpCall Call = Harness.call();
  Call.Timeout = 30ms;
  HttpCallResult Answer = Harness.answerTo(Call);
  cr_assert(Answer.Progress == CallProgress::IncompleteAnswer);
  cr_assert_eq(Answer.Status, 0);
  cr_assert_eq(Harness.Client.connections(), 0U);
}

Test(http_client_faults, call_on_a_closed_idle_connection_is_resent) {
  ClientHarness Harness{always(Ok)};
  Harness.answerTo(Harness.call());
  // The close and the call happen in the same pass of the loop, so that the
  // call is sent before the client notices the close.
  Harness.Loop.schedule(0ms, [&Harness] { Harness.Server.closeConnections(); });
  cr_assert(Harness.answerTo(Harness.call()).succeeded());
  cr_assert_eq(Harness.Server.accepted(), 2U);
}

Test(http_client_faults, write_on_a_closed_idle_connection_is_not_lost) {
  // A store that restarts closes its connections. The next write was sent on a
  // closed one, was lost, and was answered as 'may have run'.
  for (bool StrayBytes : {false, true}) {
    unsigned Requests = 0;
    ClientHarness Harness([&Requests, StrayBytes](const std::string &) {
      std::string Stray = StrayBytes && Requests == 0
                              ? "HTTP/1.1 408 \r\nContent-Length: 0\r\n\r\n"
                              : "";
      ++Requests;
      return ScriptedReply{Ok + Stray};
    });
    HttpCall Call = Harness.call();
    Call.SendOnce = true;
    cr_assert(Harness.answerTo(Call).succeeded());
    if (!StrayBytes)
      Harness.Loop.schedule(0ms,
                            [&Harness] { Harness.Server.closeConnections(); });
    cr_assert(Harness.answerTo(Call).succeeded());
    cr_assert_eq(Requests, 2U);
    cr_assert_eq(Harness.Server.accepted(), 2U);
  }
}

Test(http_client_faults, call_that_may_leave_once_is_not_repeated) {
  unsigned RequestCount = 0;
  ClientHarness Harness([&RequestCount](const std::string &) {
    return ++RequestCount == 1 ? ScriptedReply{Ok} : ScriptedReply{"", true};
  });
  HttpCall Call = Harness.call();
  Call.SendOnce = true;
  cr_assert(Harness.answerTo(Call).succeeded());
  cr_assert(Harness.answerTo(Call).Progress == CallProgress::IncompleteAnswer);
  cr_assert_eq(RequestCount, 2U);
}

Test(http_client_faults, repeatable_call_is_resent_once) {
  unsigned RequestCount = 0;
  ClientHarness Harness([&RequestCount](const std::string &) {
    return ++RequestCount == 2 ? ScriptedReply{"", true} : ScriptedReply{Ok};
  });
  cr_assert(Harness.answerTo(Harness.call()).succeeded());
  cr_assert(Harness.answerTo(Harness.call()).succeeded());
  cr_assert_eq(RequestCount, 3U);
}

Test(http_client_faults, unrepeatable_call_uses_a_new_connection) {
  ClientHarness Harness{always(Ok)};
  HttpCall Call = Harness.call();
  Call.Repeatable = false;
  cr_assert(Harness.answerTo(Call).succeeded());
  cr_assert(Harness.answerTo(Call).succeeded());
  cr_assert_eq(Harness.Server.accepted(), 2U);
}

Test(http_client_faults, answer_truncated_in_its_body_is_incomplete) {
  ClientHarness Harness([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                         true};
  });
  HttpCallResult Answer = Harness.answerTo(Harness.call());
  cr_assert(Answer.Progress == CallProgress::IncompleteAnswer);
  cr_assert(Answer.Body.empty());
}

Test(http_client_faults, answer_without_a_length_is_incomplete) {
  ClientHarness Harness([](const std::string &) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\n\r\nok", true};
  });
  cr_assert(Harness.answerTo(Harness.call()).Progress ==
            CallProgress::IncompleteAnswer);
}

Test(http_client_faults, malformed_answer_is_not_whole) {
  ClientHarness Harness{always("no HTTP at all\r\n\r\n")};
  cr_assert(Harness.answerTo(Harness.call()).Progress ==
            CallProgress::IncompleteAnswer);
  cr_assert_eq(Harness.Client.connections(), 0U);
}

Test(http_client_faults, chunked_and_interim_answers_are_parsed) {
  ClientHarness Harness{
      always("HTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n"
             "X-Mark: a\r\n\r\n2\r\nok\r\n3\r\nay!\r\n0\r\n\r\n")};
  HttpCallResult Answer = Harness.answerTo(Harness.call());
  cr_assert_eq(Answer.Status, 201);
  cr_assert_str_eq(Answer.Body.c_str(), "okay!");
  cr_assert_str_eq(Answer.Headers["x-mark"].c_str(), "a");
}

Test(http_client_faults, refused_connection_has_sent_nothing) {
  std::string ClosedAddress;
  {
    EventLoop Loop;
    ScriptedServer Server(Loop,
                          [](const std::string &) { return ScriptedReply{}; });
    ClosedAddress = Server.address();
  }
  ClientHarness Harness{always(Ok)};
  HttpCall Call = Harness.call();
  Call.Address = ClosedAddress;
  cr_assert(Harness.answerTo(Call).Progress == CallProgress::NotSent);
}

Test(http_client_faults, malformed_address_and_header_have_sent_nothing) {
  ClientHarness Harness{always(Ok)};
  HttpCall Call = Harness.call();
  Call.Address = "nowhere";
  cr_assert(Harness.answerTo(Call).Progress == CallProgress::NotSent);
  Call = Harness.call();
  Call.Headers["X-Worker"] = "id\r\nHost: other";
  cr_assert(Harness.answerTo(Call).Progress == CallProgress::NotSent);
  cr_assert_eq(Harness.Server.requests(), 0U);
}

Test(http_client_faults, idle_connections_are_bounded) {
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  ClientHarness Harness{always(Ok)};
  for (std::size_t Number = 0; Number < 2 * MaxIdle; ++Number) {
    Servers.push_back(std::make_unique<ScriptedServer>(
        Harness.Loop, [](const std::string &) { return ScriptedReply{Ok}; }));
    HttpCall Call = Harness.call();
    Call.Address = Servers.back()->address();
    cr_assert(Harness.answerTo(Call).succeeded());
  }
  cr_assert_eq(Harness.Client.connections(), MaxIdle);
}

Test(http_client_faults, answer_that_keeps_arriving_is_not_timed_out) {
  std::string Body(100'000, 'x');
  ScriptedReply Reply;
  Reply.Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + Body;
  Reply.PartSize = 10'000;
  Reply.PartInterval = 30ms;
  ClientHarness Harness([&](const std::string &) { return Reply; });
  HttpCall Call = Harness.call();
  Call.Timeout = 100ms;
  cr_assert_not(Harness.answerTo(Call).complete());
  Call.MaxStall = 100ms;
  HttpCallResult Answer = Harness.answerTo(Call);
  cr_assert(Answer.succeeded(), "%s", Answer.Fault.c_str());
  cr_assert_eq(Answer.Body.size(), Body.size());
}

Test(http_client_faults, answer_that_stops_arriving_is_timed_out) {
  // A server that goes silent must be noticed as soon as without an answer.
  ClientHarness Harness{
      always("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nsome")};
  HttpCall Call = Harness.call();
  Call.Timeout = 100ms;
  Call.MaxStall = 200ms;
  expectTimeout(Harness, Call, 200ms, 800ms);
}

Test(http_client_faults, answer_that_trickles_is_bounded) {
  ScriptedReply Reply;
  Reply.Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                std::string(100'000, 'x');
  Reply.PartSize = 1;
  Reply.PartInterval = 10ms;
  ClientHarness Harness([&](const std::string &) { return Reply; });
  HttpCall Call = Harness.call();
  Call.Timeout = 100ms;
  Call.MaxStall = 200ms;
  Call.MaxDuration = 500ms;
  expectTimeout(Harness, Call, 500ms, 1500ms);
}

Test(http_client_faults, refusal_that_arrives_in_parts_is_no_progress) {
  // An overloaded server that refuses slowly must not count as answering.
  unsigned Arrivals = 0;
  for (const char *Status : {"503 Busy", "200 OK"}) {
    ScriptedReply Reply;
    Reply.Bytes = std::string("HTTP/1.1 ") + Status +
                  "\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    Reply.PartSize = 200;
    Reply.PartInterval = 10ms;
    ClientHarness Harness([&](const std::string &) { return Reply; });
    HttpCall Call = Harness.call();
    Call.OnArrival = [&Arrivals] { ++Arrivals; };
    cr_assert(Harness.answerTo(Call).complete());
    cr_assert_eq(Arrivals > 0, Status[0] == '2');
  }
}
