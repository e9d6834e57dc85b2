/// \file
/// Defines Registry, the table of plug-ins of one interface. A plug-in
/// registers itself with a static Registration object in its own .cpp file.
#ifndef BANYANWORKS_KERNEL_REGISTRY_H
#define BANYANWORKS_KERNEL_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace banyanworks {

/// Maps names to factories of \p Interface; \p Args are the parameter types of
/// the factories.
template <typename Interface, typename... Args> class Registry {
public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  static Registry &instance() {
    static Registry Instance;
    return Instance;
  }

  void add(std::string Name, Factory Create) {
    Factories[std::move(Name)] = std::move(Create);
  }

  /// Creates the plug-in named \p Name; null if none is registered.
  std::unique_ptr<Interface> make(const std::string &Name,
                                  Args... Arguments) const {
    auto Found = Factories.find(Name);
    if (Found == Factories.end())
      return nullptr;
    return Found->second(std::forward<Args>(Arguments)...);
  }

  /// Returns the registered names in alphabetical order.
  std::vector<std::string> names() const {
    std::vector<std::string> Result;
    for (const auto &Entry : Factories)
      Result.push_back(Entry.first);
    return Result;
  }

  /// Registers a plug-in in its constructor; for static objects.
  struct Registration {
    Registration(std::string Name, Factory Make) {
      instance().add(std::move(Name), std::move(Make));
    }
  };

private:
  std::map<std::string, Factory> Factories;
};

} // namespace banyanworks

#endif
