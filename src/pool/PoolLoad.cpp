/// \file
/// Implements the JSON form of PoolLoad.
#include "pool/PoolLoad.h"

#include "model/JsonFields.h"

namespace banyanworks::pool {

using nlohmann::json;

std::string PoolLoad::encode() const {
  json ServicesJson = json::object();
  for (const auto &[Service, Load] : Services) {
    json Work = json::array();
    for (const auto &[Priority, Time] : Load.Work)
      Work.push_back({Priority, Time.count()});
    const Resources &Usable = Load.Usable;
    ServicesJson[Service.str()] = {
        {"usable", {Usable.MilliCores, Usable.MemoryMiB, Usable.Accelerators}},
        {"urgent_share", Load.UrgentShare},
        {"work_us", std::move(Work)}};
  }
  return json({{"measured_us", MeasuredAt.time_since_epoch().count()},
               {"covers", Covers.value()},
               {"services", std::move(ServicesJson)}})
      .dump();
}

Outcome<PoolLoad> PoolLoad::decode(const std::string &Text) {
  return decodeJson(Text, [](const json &In) {
    PoolLoad Result;
    // Owners of earlier versions publish only the services' shares and work.
    Result.MeasuredAt =
        WallTime(Duration(In.value("measured_us", std::int64_t{0})));
    Result.Covers = StoreRevision(In.value("covers", std::uint64_t{0}));
    for (const auto &[Service, Fields] : In.at("services").items()) {
      ServiceLoad &Load = Result.Services[ServiceId(Service)];
      if (auto Usable = Fields.find("usable"); Usable != Fields.end()) {
        Load.Usable = {Usable->at(0).get<std::int64_t>(),
                       Usable->at(1).get<std::int64_t>(),
                       Usable->at(2).get<std::int32_t>()};
      }
      Load.UrgentShare = Fields.at("urgent_share").get<double>();
      for (const json &Row : Fields.at("work_us"))
        Load.Work[Row.at(0).get<std::uint32_t>()] =
            Duration(Row.at(1).get<std::int64_t>());
    }
    return Result;
  });
}

} // namespace banyanworks::pool
