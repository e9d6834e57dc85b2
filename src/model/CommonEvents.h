/// \file
/// Defines the events that are common to the state machines of the request
/// plane and the job plane.
#ifndef BANYANWORKS_MODEL_COMMONEVENTS_H
#define BANYANWORKS_MODEL_COMMONEVENTS_H

#include <memory>

namespace banyanworks {

struct Configuration;

/// A newer configuration came into force on this daemon.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> Config;
};

/// A timer event; the receiver handles the deadlines that have passed.
struct Tick {};

} // namespace banyanworks

#endif
