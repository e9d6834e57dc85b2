/// \file
/// Implements AsyncHttpClient: which connection carries a call, when a call is
/// over, and when it is sent again.
#include "edge/AsyncHttpClient.h"

#include "edge/EventLoop.h"
#include "edge/HttpClient.h"
#include "edge/HttpConnection.h"

#include <algorithm>
#include <iterator>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanworks {

namespace {

/// A server within reach takes a connection in a few round trips; a first
/// packet that is lost is sent again after a second.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);

/// Whether \p Text can stand in the head of a request without ending its line.
bool fitsOnOneLine(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return Letter < ' ' || Letter == 0x7f;
  });
}

bool wellFormed(const HttpCall &Call) {
  return fitsOnOneLine(Call.Path) && Call.Path.find(' ') == std::string::npos &&
         std::all_of(Call.Headers.begin(), Call.Headers.end(),
                     [](const auto &Header) {
                       return fitsOnOneLine(Header.first) &&
                              fitsOnOneLine(Header.second);
                     });
}

std::string requestText(const HttpCall &Call) {
  std::string Text = Call.Verb;
  auto AddLine = [&Text](std::string_view Name, std::string_view Value) {
    Text.append(Name).append(": ").append(Value).append("\r\n");
  };
  Text.append(" ").append(Call.Path).append(" HTTP/1.1\r\n");
  AddLine("Host", Call.Address);
  if (!Call.Headers.contains("content-type"))
    AddLine("Content-Type", "application/json");
  for (const auto &[Name, Value] : Call.Headers)
    AddLine(Name, Value);
  if (Call.Verb != "GET" || !Call.Body.empty())
    AddLine("Content-Length", std::to_string(Call.Body.size()));
  return Text.append("\r\n").append(Call.Body);
}

} // namespace

struct AsyncHttpClient::Impl {
  struct Transfer;
  using Deadlines = std::multimap<TimePoint, Transfer *>;

  /// A call that is not answered yet.
  struct Transfer {
    HttpCall Call;
    Done Answered;
    TimePoint Until;
    Deadlines::iterator Due;
    HttpConnection *On = nullptr;
    /// The connection had carried an exchange before.
    bool Reused = false;
  };

  struct Line {
    std::unique_ptr<HttpConnection> Link;
    std::unique_ptr<Transfer> Carried;
    /// Its place among the idle ones, if it carries nothing.
    std::list<HttpConnection *>::iterator IdleAt;
  };

  EventLoop &Loop;
  std::size_t MostIdle;
  std::unordered_map<HttpConnection *, Line> Lines;
  /// The longest idle first.
  std::list<HttpConnection *> Idle;
  /// The one that was used last is last.
  std::unordered_map<std::string, std::vector<HttpConnection *>> IdleByServer;
  Deadlines Due;
  TimePoint TimerAt = TimePoint::max();

  Impl(EventLoop &Loop, std::size_t MostIdle)
      : Loop(Loop), MostIdle(MostIdle) {}

  void takeIdle(HttpConnection *Link) {
    Idle.erase(Lines.at(Link).IdleAt);
    auto Found = IdleByServer.find(Link->address());
    std::erase(Found->second, Link);
    if (Found->second.empty())
      IdleByServer.erase(Found);
  }

  void keep(HttpConnection *Link) {
    Lines.at(Link).IdleAt = Idle.insert(Idle.end(), Link);
    IdleByServer[Link->address()].push_back(Link);
    if (Idle.size() > MostIdle)
      closeIdle(Idle.front());
  }

  void closeIdle(HttpConnection *Link) {
    takeIdle(Link);
    Lines.erase(Link);
  }

  /// A server that let a call time out may hold its kept connections dead
  /// without a sign.
  void closeAllIdle(const std::string &Server) {
    auto Found = IdleByServer.find(Server);
    if (Found == IdleByServer.end())
      return;
    for (HttpConnection *Link : std::vector(Found->second))
      closeIdle(Link);
  }

  void begin(std::unique_ptr<Transfer> Started, bool Fresh) {
    std::string Request = requestText(Started->Call);
    auto Found = IdleByServer.find(Started->Call.Address);
    HttpConnection *Link = nullptr;
    Started->Reused = !Fresh && Found != IdleByServer.end();
    if (Started->Reused) {
      Link = Found->second.back();
      takeIdle(Link);
    } else {
      auto Opened = std::make_unique<HttpConnection>(
          Loop, Started->Call.Address,
          [this](HttpConnection &Changed) { changed(Changed); });
      Link = Opened.get();
      if (!Link->open()) {
        answerLater(std::move(Started), Link->takeAnswer());
        return;
      }
      Lines[Link].Link = std::move(Opened);
    }
    Started->On = Link;
    TimePoint First = Started->Until;
    if (!Link->connected())
      First = std::min(First, Loop.now() + ConnectTimeout);
    Started->Due = Due.emplace(First, Started.get());
    armTimer();
    Lines.at(Link).Carried = std::move(Started);
    Link->send(std::move(Request));
  }

  void answerLater(std::unique_ptr<Transfer> Failed, const HttpAnswer &Answer) {
    Loop.schedule(Duration::zero(), [Answered = std::move(Failed->Answered),
                                     Answer] { Answered(Answer); });
  }

  void changed(HttpConnection &Link) {
    Line &Its = Lines.at(&Link);
    if (!Its.Carried) {
      closeIdle(&Link);
      return;
    }
    std::unique_ptr<Transfer> Ended = std::move(Its.Carried);
    Due.erase(Ended->Due);
    HttpAnswer Answer = Link.takeAnswer();
    bool Began = Link.answerBegan();
    if (Link.usable())
      keep(&Link);
    else
      Lines.erase(&Link);
    // The server may close a kept connection just when the call is sent.
    bool Again =
        !Answer.whole() && Ended->Reused && !Began && !Ended->Call.SendOnce;
    if (Again)
      begin(std::move(Ended), true);
    else
      Ended->Answered(std::move(Answer));
  }

  void armTimer() {
    if (Due.empty() || Due.begin()->first >= TimerAt)
      return;
    TimerAt = Due.begin()->first;
    Loop.schedule(TimerAt - Loop.now(), [this, Mine = TimerAt] {
      if (Mine != TimerAt)
        return;
      TimerAt = TimePoint::max();
      endOverdue();
      armTimer();
    });
  }

  void endOverdue() {
    TimePoint Now = Loop.now();
    while (!Due.empty() && Due.begin()->first <= Now) {
      Transfer *Late = Due.begin()->second;
      HttpConnection *Link = Late->On;
      // Whoever answered in time takes the answer for known, so that one which
      // waits unread in a slow process still counts.
      if (Link->connected() && Link->collect()) {
        changed(*Link);
        continue;
      }
      Due.erase(Due.begin());
      if (Link->connected() && Late->Until > Now) {
        Late->Due = Due.emplace(Late->Until, Late);
        continue;
      }
      giveUp(Link);
    }
  }

  void giveUp(HttpConnection *Link) {
    auto Found = Lines.find(Link);
    std::unique_ptr<Transfer> Ended = std::move(Found->second.Carried);
    HttpAnswer Answer = Link->takeAnswer();
    Answer.Fault = "the call timed out";
    Lines.erase(Found);
    closeAllIdle(Ended->Call.Address);
    Ended->Answered(std::move(Answer));
  }
};

AsyncHttpClient::AsyncHttpClient(EventLoop &Loop, std::size_t MostIdle)
    : Self(std::make_unique<Impl>(Loop, MostIdle)) {}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(const HttpCall &Call, Done Answered) {
  auto Started = std::make_unique<Impl::Transfer>();
  Started->Call = Call;
  Started->Answered = std::move(Answered);
  Started->Until = Self->Loop.now() + Call.Timeout;
  if (!wellFormed(Call)) {
    HttpAnswer Refused;
    Refused.Fault = "a control character in the head of the request";
    Self->answerLater(std::move(Started), Refused);
    return;
  }
  Self->begin(std::move(Started), !Call.Repeatable);
}

std::size_t AsyncHttpClient::connections() const { return Self->Lines.size(); }

} // namespace banyanworks
