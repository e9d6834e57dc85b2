/// \file
/// Implements ConfigurationHolder.
#include "daemon/ConfigurationHolder.h"

#include "edge/Log.h"

namespace banyanworks {

void ConfigurationHolder::subscribe(Listener Callback) {
  Listeners.push_back(std::move(Callback));
}

void ConfigurationHolder::update(const Pointer &Next) {
  std::lock_guard NotifyGuard(NotifyLock);
  {
    std::lock_guard Guard(Lock);
    if (Next->Version <= Current->Version)
      return;
    Current = Next;
  }
  logInfo("configuration_in_force",
          {{"version", std::to_string(Next->Version.value())},
           {"author", Next->Author}});
  for (const Listener &Callback : Listeners)
    Callback(Next);
}

ConfigurationHolder::Pointer ConfigurationHolder::current() const {
  std::lock_guard Guard(Lock);
  return Current;
}

} // namespace banyanworks
