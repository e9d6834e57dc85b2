/// \file
/// Implements the durable form of PoolLoad.
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
    ServicesJson[Service.str()] = {{"urgent_share", Load.UrgentShare},
                                   {"work_us", std::move(Work)}};
  }
  return json({{"services", std::move(ServicesJson)}}).dump();
}

Outcome<PoolLoad> PoolLoad::decode(const std::string &Text) {
  return decodeJson(Text, [](const json &In) {
    PoolLoad Result;
    for (const auto &[Service, Fields] : In.at("services").items()) {
      ServiceLoad &Load = Result.Services[ServiceId(Service)];
      Load.UrgentShare = Fields.at("urgent_share").get<double>();
      for (const json &Row : Fields.at("work_us"))
        Load.Work[Row.at(0).get<std::uint32_t>()] =
            Duration(Row.at(1).get<std::int64_t>());
    }
    return Result;
  });
}

} // namespace banyanworks::pool
