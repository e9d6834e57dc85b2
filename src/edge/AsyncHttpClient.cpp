/// \file
/// Implements AsyncHttpClient: reuse of connections, timeouts, and resending of
/// calls.
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

/// A reachable server accepts a connection within a few round trips; a lost SYN
/// is retransmitted only after a second.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);

/// True if \p Text cannot end its line when written into the head of a request.
bool hasNoControlCharacters(const std::string &Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return Letter < ' ' || Letter == 0x7f;
  });
}

bool wellFormed(const HttpCall &Call) {
  return hasNoControlCharacters(Call.Path) &&
         Call.Path.find(' ') == std::string::npos &&
         std::all_of(Call.Headers.begin(), Call.Headers.end(),
                     [](const auto &Header) {
                       return hasNoControlCharacters(Header.first) &&
                              hasNoControlCharacters(Header.second);
                     });
}

std::string serializeRequest(const HttpCall &Call) {
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

  /// A call in progress.
  struct Transfer {
    HttpCall Call;
    ResultHandler OnDone;
    TimePoint SentAt;
    TimePoint Deadline;
    Deadlines::iterator DeadlineEntry;
    HttpConnection *Connection = nullptr;
    /// The connection carried an earlier exchange.
    bool ReusesConnection = false;

    /// When the call ends if no further byte of the answer arrives.
    TimePoint expiry() const {
      if (Call.MaxStall <= Duration::zero() || !Connection->answerStarted())
        return Deadline;
      return std::min(
          std::max(Deadline, Connection->lastByteAt() + Call.MaxStall),
          SentAt + Call.MaxDuration);
    }
  };

  struct ConnectionState {
    std::unique_ptr<HttpConnection> Connection;
    std::unique_ptr<Transfer> Current;
    /// Position in Idle if the connection carries no transfer.
    std::list<HttpConnection *>::iterator IdlePosition;
  };

  EventLoop &Loop;
  std::size_t MaxIdle;
  std::unordered_map<HttpConnection *, ConnectionState> Connections;
  /// Idle connections, the least recently used first.
  std::list<HttpConnection *> Idle;
  /// Idle connections of each server, the most recently used last.
  std::unordered_map<std::string, std::vector<HttpConnection *>> IdleByServer;
  Deadlines PendingDeadlines;
  TimePoint TimerDue = TimePoint::max();

  Impl(EventLoop &Loop, std::size_t MaxIdle) : Loop(Loop), MaxIdle(MaxIdle) {}

  void removeIdle(HttpConnection *Connection) {
    Idle.erase(Connections.at(Connection).IdlePosition);
    auto Found = IdleByServer.find(Connection->address());
    std::erase(Found->second, Connection);
    if (Found->second.empty())
      IdleByServer.erase(Found);
  }

  void addIdle(HttpConnection *Connection) {
    Connections.at(Connection).IdlePosition =
        Idle.insert(Idle.end(), Connection);
    IdleByServer[Connection->address()].push_back(Connection);
    if (Idle.size() > MaxIdle)
      closeIdle(Idle.front());
  }

  void closeIdle(HttpConnection *Connection) {
    removeIdle(Connection);
    Connections.erase(Connection);
  }

  /// After a timeout, idle connections to the same server may be dead although
  /// they were not closed.
  void closeAllIdle(const std::string &Server) {
    auto Found = IdleByServer.find(Server);
    if (Found == IdleByServer.end())
      return;
    for (HttpConnection *Connection : std::vector(Found->second))
      closeIdle(Connection);
  }

  /// Closes idle connections that the server has closed or reset until one
  /// remains that can be used. A request sent on them would be lost, and its
  /// outcome would count as unknown although the server never read it.
  void closeBrokenIdle(const std::string &Server) {
    for (auto Found = IdleByServer.find(Server);
         Found != IdleByServer.end() && !Found->second.back()->quiet();
         Found = IdleByServer.find(Server))
      closeIdle(Found->second.back());
  }

  void startTransfer(std::unique_ptr<Transfer> NewTransfer,
                     bool NewConnection) {
    std::string Request = serializeRequest(NewTransfer->Call);
    if (!NewConnection)
      closeBrokenIdle(NewTransfer->Call.Address);
    auto Found = IdleByServer.find(NewTransfer->Call.Address);
    HttpConnection *Connection = nullptr;
    NewTransfer->ReusesConnection =
        !NewConnection && Found != IdleByServer.end();
    if (NewTransfer->ReusesConnection) {
      Connection = Found->second.back();
      removeIdle(Connection);
    } else {
      auto OpenedConnection = std::make_unique<HttpConnection>(
          Loop, NewTransfer->Call.Address,
          [this](HttpConnection &Changed) { connectionChanged(Changed); });
      OpenedConnection->onArrival([this](HttpConnection &Receiving) {
        const ConnectionState &State = Connections.at(&Receiving);
        constexpr int StatusOk = 200;
        if (State.Current && State.Current->Call.OnArrival &&
            Receiving.answerStatus() == StatusOk)
          State.Current->Call.OnArrival();
      });
      Connection = OpenedConnection.get();
      if (!Connection->open()) {
        reportLater(std::move(NewTransfer), Connection->takeAnswer());
        return;
      }
      Connections[Connection].Connection = std::move(OpenedConnection);
    }
    NewTransfer->Connection = Connection;
    TimePoint Expiry = NewTransfer->Deadline;
    if (!Connection->connected())
      Expiry = std::min(Expiry, Loop.now() + ConnectTimeout);
    NewTransfer->DeadlineEntry =
        PendingDeadlines.emplace(Expiry, NewTransfer.get());
    armTimer();
    Connections.at(Connection).Current = std::move(NewTransfer);
    Connection->send(std::move(Request));
  }

  void reportLater(std::unique_ptr<Transfer> FailedTransfer,
                   const HttpCallResult &Answer) {
    Loop.schedule(Duration::zero(), [OnDone = std::move(FailedTransfer->OnDone),
                                     Answer] { OnDone(Answer); });
  }

  void connectionChanged(HttpConnection &Connection) {
    ConnectionState &State = Connections.at(&Connection);
    if (!State.Current) {
      closeIdle(&Connection);
      return;
    }
    std::unique_ptr<Transfer> EndedTransfer = std::move(State.Current);
    PendingDeadlines.erase(EndedTransfer->DeadlineEntry);
    HttpCallResult Answer = Connection.takeAnswer();
    bool AnswerStarted = Connection.answerStarted();
    if (Connection.usable())
      addIdle(&Connection);
    else
      Connections.erase(&Connection);
    // The server may have closed an idle connection just when the call was
    // sent. A call of which nothing was sent may always be repeated.
    bool NotSent = Answer.Progress == CallProgress::NotSent;
    bool Resend = !Answer.complete() && EndedTransfer->ReusesConnection &&
                  !AnswerStarted && (NotSent || !EndedTransfer->Call.SendOnce);
    if (Resend)
      startTransfer(std::move(EndedTransfer), true);
    else
      EndedTransfer->OnDone(std::move(Answer));
  }

  void armTimer() {
    if (PendingDeadlines.empty() || PendingDeadlines.begin()->first >= TimerDue)
      return;
    TimerDue = PendingDeadlines.begin()->first;
    Loop.schedule(TimerDue - Loop.now(), [this, ArmedAt = TimerDue] {
      if (ArmedAt != TimerDue)
        return;
      TimerDue = TimePoint::max();
      expireOverdue();
      armTimer();
    });
  }

  void expireOverdue() {
    TimePoint Now = Loop.now();
    while (!PendingDeadlines.empty() &&
           PendingDeadlines.begin()->first <= Now) {
      Transfer *Overdue = PendingDeadlines.begin()->second;
      HttpConnection *Connection = Overdue->Connection;
      // An answer that arrived in time but waits unread in a slow process still
      // counts, because the server acts on having sent it.
      if (Connection->connected() && Connection->receiveAvailable()) {
        connectionChanged(*Connection);
        continue;
      }
      PendingDeadlines.erase(PendingDeadlines.begin());
      TimePoint Expiry = Overdue->expiry();
      if (Connection->connected() && Expiry > Now) {
        Overdue->DeadlineEntry = PendingDeadlines.emplace(Expiry, Overdue);
        continue;
      }
      timeOut(Connection);
    }
  }

  void timeOut(HttpConnection *Connection) {
    auto Found = Connections.find(Connection);
    std::unique_ptr<Transfer> EndedTransfer = std::move(Found->second.Current);
    HttpCallResult Answer = Connection->takeAnswer();
    Answer.Fault = "the call timed out";
    Connections.erase(Found);
    closeAllIdle(EndedTransfer->Call.Address);
    EndedTransfer->OnDone(std::move(Answer));
  }
};

AsyncHttpClient::AsyncHttpClient(EventLoop &Loop, std::size_t MaxIdle)
    : Self(std::make_unique<Impl>(Loop, MaxIdle)) {}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(const HttpCall &Call, ResultHandler OnDone) {
  auto NewTransfer = std::make_unique<Impl::Transfer>();
  NewTransfer->Call = Call;
  NewTransfer->OnDone = std::move(OnDone);
  NewTransfer->SentAt = Self->Loop.now();
  NewTransfer->Deadline = NewTransfer->SentAt + Call.Timeout;
  if (!wellFormed(Call)) {
    HttpCallResult RefusedResult;
    RefusedResult.Fault = "malformed path or header in the request";
    Self->reportLater(std::move(NewTransfer), RefusedResult);
    return;
  }
  Self->startTransfer(std::move(NewTransfer), !Call.Repeatable);
}

std::size_t AsyncHttpClient::connections() const {
  return Self->Connections.size();
}

} // namespace banyanworks
