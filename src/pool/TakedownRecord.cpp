/// \file
/// Implements TakedownRecord.
#include "pool/TakedownRecord.h"

#include "model/JsonFields.h"

#include <algorithm>

namespace banyanworks::pool {

using nlohmann::json;

Outcome<TakedownRecord> TakedownRecord::decode(const std::string &Stored) {
  return decodeJson(Stored, [](const json &In) {
    TakedownRecord Result;
    for (const json &Row : In) {
      Result.add(WaveNumber(Row.at(0).get<std::uint64_t>()),
                 HostId(Row.at(1).get<std::string>()),
                 WorkerId(Row.at(2).get<std::string>()));
    }
    return Result;
  });
}

std::string TakedownRecord::encode() const {
  if (Waves.empty())
    return "";
  json Rows = json::array();
  for (const auto &[Wave, Hosts] : Waves)
    for (const auto &[Host, Worker] : Hosts)
      Rows.push_back({Wave.value(), Host.str(), Worker.str()});
  return Rows.dump();
}

bool TakedownRecord::contains(WaveNumber Wave, const HostId &Host) const {
  auto Found = Waves.find(Wave);
  return Found != Waves.end() && Found->second.contains(Host);
}

bool TakedownRecord::covers(const TakedownRecord &Other) const {
  return std::all_of(
      Other.Waves.begin(), Other.Waves.end(), [this](const auto &Entry) {
        return std::all_of(Entry.second.begin(), Entry.second.end(),
                           [&](const auto &Host) {
                             return contains(Entry.first, Host.first);
                           });
      });
}

TakedownRecord::HostsOfWave TakedownRecord::hostsOf(WaveNumber Wave) const {
  auto Found = Waves.find(Wave);
  return Found == Waves.end() ? HostsOfWave() : Found->second;
}

std::set<WorkerId> TakedownRecord::workers() const {
  std::set<WorkerId> Result;
  for (const auto &[Wave, Hosts] : Waves)
    for (const auto &[Host, Worker] : Hosts)
      Result.insert(Worker);
  return Result;
}

} // namespace banyanworks::pool
