/// \file
/// Defines ConnectionTable, which decides which connections of a server give
/// way when its connections or its memory for requests run out.
#ifndef BANYANWORKS_EDGE_CONNECTIONTABLE_H
#define BANYANWORKS_EDGE_CONNECTIONTABLE_H

#include "base/StrongType.h"
#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanworks {

using ConnectionId = Number<struct ConnectionTag>;

struct ConnectionLimits {
  std::size_t MaxConnections = 256;
  /// Bytes of memory for all requests that are being received or wait for
  /// their response.
  std::uint64_t MaxRequestBytes = 32ULL << 20U;
  /// Time within which a request has to arrive whole, and a response has to be
  /// read; also the time that a new connection may take to its first request.
  /// Callers wait a few seconds for a response at most.
  Duration MaxTransferTime = std::chrono::seconds(30);
  /// Time after which an idle connection is closed; longer than the interval at
  /// which a caller polls a job.
  Duration MaxIdleTime = std::chrono::seconds(60);
  /// Time that an ordinary request takes to arrive, at most. A connection whose
  /// request is unfinished for longer gives way before idle ones.
  Duration OrdinaryTransferTime = std::chrono::seconds(1);
};

/// What a connection is doing.
enum class ConnectionActivity : std::uint8_t {
  /// No request has begun to arrive yet.
  New,
  /// The last response has been sent, and no further request has begun.
  Idle,
  /// The head of a request has arrived.
  Receiving,
  /// A whole request waits for its response. Such a connection never gives way.
  Waiting,
  /// The response is being sent.
  Responding,
  Count,
};

/// Callers that are not under our control open connections, begin requests and
/// leave responses unread, as many as they like. What they hold is bounded by
/// closing the connections whose activity has lasted longest. A caller's
/// address plays no role, since callers behind the balancer share it.
class ConnectionTable {
public:
  explicit ConnectionTable(const ConnectionLimits &Limits) : Limits(Limits) {}

  void add(ConnectionId Id, TimePoint Now);
  void remove(ConnectionId Id);
  /// Records that a connection does something else from now on. Idle and
  /// Responding release the memory of its request.
  void setActivity(ConnectionId Id, ConnectionActivity Activity, TimePoint Now);

  /// Sets the memory that the request of a connection takes, in bytes. False if
  /// there is not enough for all requests; nothing changes then, and
  /// byteVictim() tells which connection gives way. A request that is alone
  /// always fits.
  bool setBytes(ConnectionId Id, std::uint64_t Bytes);

  /// The connection to close for a new one; nullopt while there is room, or if
  /// all connections wait for responses.
  std::optional<ConnectionId> connectionVictim(TimePoint Now) const;
  /// The connection whose request is the oldest that is being received.
  std::optional<ConnectionId> byteVictim() const;
  /// The connections whose activity has exceeded its time limit.
  std::vector<ConnectionId> overdue(TimePoint Now) const;

  bool contains(ConnectionId Id) const { return Connections.contains(Id); }
  /// What a connection in the table is doing, and since when.
  ConnectionActivity activity(ConnectionId Id) const {
    return Connections.at(Id).Activity;
  }
  TimePoint since(ConnectionId Id) const { return Connections.at(Id).Since; }
  std::size_t size() const { return Connections.size(); }
  std::uint64_t totalBytes() const { return TotalBytes; }

private:
  /// Connections with the same activity, the longest first.
  using ActivityOrder = std::list<ConnectionId>;
  struct Entry {
    ConnectionActivity Activity = ConnectionActivity::New;
    TimePoint Since;
    std::uint64_t Bytes = 0;
    ActivityOrder::iterator Position;
  };

  ActivityOrder &order(ConnectionActivity Activity) {
    return Orders[static_cast<std::size_t>(Activity)];
  }
  const ActivityOrder &order(ConnectionActivity Activity) const {
    return Orders[static_cast<std::size_t>(Activity)];
  }
  /// The connection with an unfinished transfer whose activity is the oldest.
  std::optional<ConnectionId> oldestUnfinished() const;

  ConnectionLimits Limits;
  std::unordered_map<ConnectionId, Entry> Connections;
  std::array<ActivityOrder, static_cast<std::size_t>(ConnectionActivity::Count)>
      Orders;
  std::uint64_t TotalBytes = 0;
};

} // namespace banyanworks

#endif
