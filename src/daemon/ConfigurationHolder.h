/// \file
/// Defines ConfigurationHolder, the version in force at this daemon.
#ifndef BANYANWORKS_DAEMON_CONFIGURATIONHOLDER_H
#define BANYANWORKS_DAEMON_CONFIGURATIONHOLDER_H

#include "model/Configuration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace banyanworks {

/// Holds the newest configuration and tells the parts of the daemon about it.
class ConfigurationHolder {
public:
  using Pointer = std::shared_ptr<const Configuration>;
  using Listener = std::function<void(const Pointer &)>;

  /// Adds a listener before the first version is offered.
  void subscribe(Listener Callback);

  /// Puts a version in force unless a newer one already is.
  void update(const Pointer &Next);

  /// The version in force; an empty version 0 until one is known.
  Pointer current() const;

private:
  mutable std::mutex Lock;
  /// Held while listeners are told, so that they see versions in order.
  std::mutex NotifyLock;
  Pointer Current = std::make_shared<const Configuration>();
  std::vector<Listener> Listeners;
};

} // namespace banyanworks

#endif
