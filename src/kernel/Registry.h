/// \file
/// Defines Registry, the kernel's table of plug-ins of one kind. A plug-in
/// registers itself from its own .cpp through a static Registration.
#ifndef BANYANWORKS_KERNEL_REGISTRY_H
#define BANYANWORKS_KERNEL_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace banyanworks {

/// Maps names to factories of \p Interface; \p Args are what a factory takes.
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

  /// Makes the plug-in of that name; null if none is registered.
  std::unique_ptr<Interface> make(const std::string &Name,
                                  Args... Arguments) const {
    auto Found = Factories.find(Name);
    if (Found == Factories.end())
      return nullptr;
    return Found->second(std::forward<Args>(Arguments)...);
  }

  /// The registered names in alphabetical order.
  std::vector<std::string> names() const {
    std::vector<std::string> Result;
    for (const auto &Entry : Factories)
      Result.push_back(Entry.first);
    return Result;
  }

  /// A static object of this type registers a plug-in during start-up.
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
