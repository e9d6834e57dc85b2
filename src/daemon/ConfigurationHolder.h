/// \file
/// Defines ConfigurationHolder, the configuration in force on this daemon.
#ifndef BANYANWORKS_DAEMON_CONFIGURATIONHOLDER_H
#define BANYANWORKS_DAEMON_CONFIGURATIONHOLDER_H

#include "model/Configuration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace banyanworks {

/// Holds the newest configuration and notifies subscribers of each new version.
/// May be used from several threads once all subscribers are added.
class ConfigurationHolder {
public:
  using Pointer = std::shared_ptr<const Configuration>;
  using Listener = std::function<void(const Pointer &)>;

  /// Adds a listener; must be called before the first update().
  void subscribe(Listener Callback);

  /// Puts a version in force and notifies the listeners, unless the same or a
  /// newer version is in force.
  void update(const Pointer &Next);

  /// The configuration in force; an empty one of version 0 before the first
  /// update().
  Pointer current() const;

private:
  mutable std::mutex Lock;
  /// Serializes notifications, so that listeners see versions in order.
  std::mutex NotifyLock;
  Pointer Current = std::make_shared<const Configuration>();
  std::vector<Listener> Listeners;
};

} // namespace banyanworks

#endif
