/// \file
/// Implements mayHaveTakenEffect().
#include "pool/WorkerOrders.h"

namespace banyanworks::pool {

bool mayHaveTakenEffect(OrderResult Result) {
  switch (Result) {
  case OrderResult::Done:
  case OrderResult::Superseded:
  case OrderResult::NoAnswer:
    return true;
  case OrderResult::Fenced:
  case OrderResult::Expired:
  case OrderResult::NoCapacity:
  case OrderResult::Unhealthy:
  case OrderResult::OtherIncarnation:
  case OrderResult::Malformed:
  case OrderResult::NoTicket:
  case OrderResult::NotSent:
    return false;
  }
  return true;
}

} // namespace banyanworks::pool
