/// \file
/// Defines the reader of declaration files, which builds a configuration. A
/// file declares one service, or the operators' domains, workspaces and
/// endpoints, or all of them. A set of files with an error in any of them is
/// rejected as a whole.
#ifndef BANYANWORKS_MODEL_DECLARATIONS_H
#define BANYANWORKS_MODEL_DECLARATIONS_H

#include "model/Configuration.h"
#include "model/Diagnostic.h"

#include <string>
#include <vector>

namespace banyanworks {

/// The name of the declaration file in a service's source directory.
inline constexpr const char *DeclarationFileName = "banyanworks.toml";

/// The path and contents of a file.
struct SourceFile {
  std::string Path;
  std::string Text;
};

/// The configuration that a set of files declares, and their errors. The
/// configuration is valid only if there are no diagnostics.
struct DeclarationResult {
  Configuration Config;
  std::vector<Diagnostic> Diagnostics;
};

/// Reads \p Files and checks them together.
DeclarationResult readDeclarations(const std::vector<SourceFile> &Files);

/// Checks the references between the parts of a configuration: workspaces of
/// services, failure domains of endpoints and guarantees. The diagnostics name
/// \p File as their location.
std::vector<Diagnostic> checkReferences(const Configuration &Config,
                                        const std::string &File);

/// Copies the state that operators set independently of the files from
/// \p Current to \p Next: the failure domains that are out of service and the
/// endpoints that are draining. Publishing files must not reset it.
void keepOperatorState(const Configuration &Current, Configuration &Next);

} // namespace banyanworks

#endif
