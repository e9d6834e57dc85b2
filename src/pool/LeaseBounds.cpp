/// \file
/// Implements LeaseBounds and the stored form of the list.
#include "pool/LeaseBounds.h"

#include "model/JsonFields.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

using nlohmann::json;

namespace {

/// Parses lists of worker ids by the microsecond, in Unix time, at which their
/// leases have ended. Most workers of a list share that time.
Outcome<std::map<WorkerId, WallTime>> decode(const std::string &Stored) {
  return decodeJson(Stored, [](const json &In) {
    std::map<WorkerId, WallTime> Result;
    for (const json &Row : In) {
      WallTime EndsAt(Duration(Row.at(0).get<std::int64_t>()));
      for (const json &Id : Row.at(1))
        Result[WorkerId(Id.get<std::string>())] = EndsAt;
    }
    return Result;
  });
}

} // namespace

Outcome<void> LeaseBounds::restore(const std::string &Stored,
                                   TimePoint AllEnded, TimePoint Now,
                                   WallTime Wall) {
  auto Decoded = decode(Stored);
  if (!Decoded) {
    Unreadable = true;
    UnreadableEnd = AllEnded;
    Changed = true;
    return tl::unexpected<Error>(Decoded.error());
  }
  for (const auto &[Id, EndsAt] : *Decoded) {
    TimePoint EndsBy =
        std::min(AllEnded, Now + std::max(Duration::zero(), EndsAt - Wall));
    Entries.emplace(Id, Entry{EndsAt, EndsBy});
  }
  return {};
}

void LeaseBounds::add(const WorkerId &Id, TimePoint EndsBy, TimePoint Now,
                      WallTime Wall) {
  Entry Added{Wall + (EndsBy - Now) + ClockMargin, EndsBy};
  if (Entries.emplace(Id, Added).second)
    Changed = true;
}

void LeaseBounds::release(const WorkerId &Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end() || std::exchange(Found->second.Released, true))
    return;
  Changed = true;
}

std::vector<WorkerId> LeaseBounds::listed() const {
  std::vector<WorkerId> Result;
  for (const auto &[Id, Listed] : Entries)
    if (!Listed.Released)
      Result.push_back(Id);
  return Result;
}

std::string LeaseBounds::startCommit() {
  Changed = false;
  std::map<WallTime, json> Rows;
  for (auto &[Id, Listed] : Entries) {
    Listed.RemovalInFlight = Listed.Released;
    if (!Listed.Released)
      Rows[Listed.StoredEnd].push_back(Id.str());
  }
  if (Rows.empty())
    return {};
  json Encoded = json::array();
  for (auto &[EndsAt, Ids] : Rows)
    Encoded.push_back({EndsAt.time_since_epoch().count(), std::move(Ids)});
  return Encoded.dump();
}

std::vector<WorkerId> LeaseBounds::committed() {
  Unreadable = false;
  std::vector<WorkerId> Freed;
  std::erase_if(Entries, [&](const auto &Listed) {
    if (!Listed.second.RemovalInFlight)
      return false;
    ReleasedEnds[Listed.first] = Listed.second.EndsBy;
    Freed.push_back(Listed.first);
    return true;
  });
  return Freed;
}

std::optional<TimePoint> LeaseBounds::endsBy(const WorkerId &Id) const {
  if (auto Listed = Entries.find(Id); Listed != Entries.end())
    return Listed->second.EndsBy;
  if (auto Released = ReleasedEnds.find(Id); Released != ReleasedEnds.end())
    return Released->second;
  return UnreadableEnd;
}

} // namespace banyanworks::pool
