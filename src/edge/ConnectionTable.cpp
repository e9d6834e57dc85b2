/// \file
/// Implements ConnectionTable.
#include "edge/ConnectionTable.h"

#include <iterator>

namespace banyanworks {

namespace {

/// Activities during which the caller has to send or to read something.
constexpr std::array UnfinishedActivities{ConnectionActivity::New,
                                          ConnectionActivity::Receiving,
                                          ConnectionActivity::Responding};

} // namespace

void ConnectionTable::add(ConnectionId Id, TimePoint Now) {
  ActivityOrder &Order = order(ConnectionActivity::New);
  Entry Added;
  Added.Since = Now;
  Added.Position = Order.insert(Order.end(), Id);
  Connections.emplace(Id, Added);
}

void ConnectionTable::remove(ConnectionId Id) {
  auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  TotalBytes -= Found->second.Bytes;
  order(Found->second.Activity).erase(Found->second.Position);
  Connections.erase(Found);
}

void ConnectionTable::setActivity(ConnectionId Id, ConnectionActivity Activity,
                                  TimePoint Now) {
  auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  Entry &Changed = Found->second;
  ActivityOrder &Target = order(Activity);
  Target.splice(Target.end(), order(Changed.Activity), Changed.Position);
  Changed.Activity = Activity;
  Changed.Since = Now;
  if (Activity == ConnectionActivity::Idle ||
      Activity == ConnectionActivity::Responding) {
    TotalBytes -= Changed.Bytes;
    Changed.Bytes = 0;
  }
}

bool ConnectionTable::setBytes(ConnectionId Id, std::uint64_t Bytes) {
  auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return false;
  std::uint64_t OthersBytes = TotalBytes - Found->second.Bytes;
  bool Grows = Bytes > Found->second.Bytes;
  if (Grows && OthersBytes > 0 && OthersBytes + Bytes > Limits.MaxRequestBytes)
    return false;
  TotalBytes = OthersBytes + Bytes;
  Found->second.Bytes = Bytes;
  return true;
}

std::optional<ConnectionId> ConnectionTable::oldestUnfinished() const {
  std::optional<ConnectionId> Oldest;
  for (ConnectionActivity Activity : UnfinishedActivities) {
    const ActivityOrder &Order = order(Activity);
    if (Order.empty())
      continue;
    if (!Oldest || since(Order.front()) < since(*Oldest))
      Oldest = Order.front();
  }
  return Oldest;
}

std::optional<ConnectionId>
ConnectionTable::connectionVictim(TimePoint Now) const {
  if (Connections.size() <= Limits.MaxConnections)
    return std::nullopt;
  std::optional<ConnectionId> Unfinished = oldestUnfinished();
  const ActivityOrder &Idle = order(ConnectionActivity::Idle);
  if (Unfinished &&
      (Idle.empty() || Now - since(*Unfinished) >= Limits.OrdinaryTransferTime))
    return Unfinished;
  if (!Idle.empty())
    return Idle.front();
  return std::nullopt;
}

std::optional<ConnectionId> ConnectionTable::byteVictim() const {
  const ActivityOrder &Receiving = order(ConnectionActivity::Receiving);
  if (Receiving.empty())
    return std::nullopt;
  return Receiving.front();
}

std::vector<ConnectionId> ConnectionTable::overdue(TimePoint Now) const {
  std::vector<ConnectionId> Result;
  auto Collect = [&](ConnectionActivity Activity, Duration Limit) {
    for (ConnectionId Id : order(Activity)) {
      if (Now - since(Id) < Limit)
        return;
      Result.push_back(Id);
    }
  };
  for (ConnectionActivity Activity : UnfinishedActivities)
    Collect(Activity, Limits.MaxTransferTime);
  Collect(ConnectionActivity::Idle, Limits.MaxIdleTime);
  return Result;
}

} // namespace banyanworks
