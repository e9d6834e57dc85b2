/// \file
/// Defines RateShares, the rate limits of methods, divided between the daemons
/// in proportion to what arrives at each.
#ifndef BANYANWORKS_REQUESTS_RATESHARES_H
#define BANYANWORKS_REQUESTS_RATESHARES_H

#include "model/Configuration.h"
#include "requests/PeerMessages.h"

#include <map>

namespace banyanworks {

/// This daemon's token bucket for each method that has a rate limit.
class RateShares {
public:
  void setMethods(const std::map<MethodId, Method> &Methods);

  /// Counts an arrival and takes a token; false if the share is spent.
  bool admit(TimePoint Now, const MethodId &Id);
  /// When the next token of the method is there, from now.
  Duration timeToNextToken(const MethodId &Id) const;

  void onPeerReport(TimePoint Now, const PeerReport &Report);
  void addToReport(TimePoint Now, PeerReport &Report);
  /// Sets how many daemons share the limits, this one included.
  void setDaemonCount(std::size_t Count) { DaemonCount = Count; }

private:
  struct Arrivals {
    double Rate = 0;
    TimePoint ReportedAt;
  };
  struct Bucket {
    double Limit = 0;
    double Tokens = 0;
    double Share = 0;
    bool Initialized = false;
    TimePoint RefilledAt;
    std::uint32_t WindowArrivals = 0;
    double Rate = 0;
    TimePoint WindowStart;
    std::map<DaemonId, Arrivals> PeerArrivals;
  };

  void refill(TimePoint Now, Bucket &Value) const;

  std::size_t DaemonCount = 1;
  std::map<MethodId, Bucket> Buckets;
};

} // namespace banyanworks

#endif
