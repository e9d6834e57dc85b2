/// \file
/// Implements ReserveAccess.
#include "pool/ReserveAccess.h"

namespace banyanworks::pool {

std::string_view grantName(ReserveGrant Grant) {
  switch (Grant) {
  case ReserveGrant::None:
    return "none";
  case ReserveGrant::NoOtherWorkers:
    return "no_other_workers";
  case ReserveGrant::RestoresService:
    return "restores_service";
  case ReserveGrant::IdlePool:
    return "idle_pool";
  }
  return "unknown";
}

void ReserveAccess::addWorker(const ServiceId &Service,
                              std::int32_t Accelerators, std::int32_t Used) {
  Uses[Service].Accelerators += Accelerators;
  addUse(Service, Used);
}

void ReserveAccess::addUse(const ServiceId &Service,
                           std::int32_t Accelerators) {
  Uses[Service].Used += Accelerators;
}

bool ReserveAccess::isIdle(const ServiceId &Service) const {
  auto Found = Uses.find(Service);
  if (Found == Uses.end())
    return false;
  const ServiceUse &Use = Found->second;
  return static_cast<double>(Use.Used) <=
         IdleShare * static_cast<double>(Use.Accelerators);
}

ReserveGrant ReserveAccess::decide(const ReserveDemand &Demand) const {
  if (Demand.FittingOutside < Demand.Tasks)
    return ReserveGrant::NoOtherWorkers;
  if (Demand.RestoresService)
    return ReserveGrant::RestoresService;
  return !Demand.GangWaits && isIdle(Demand.Service) ? ReserveGrant::IdlePool
                                                     : ReserveGrant::None;
}

} // namespace banyanworks::pool
