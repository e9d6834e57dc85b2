/// \file
/// Defines how declaration files become a configuration. A file declares one
/// service, or the operators' domains, workspaces and endpoints, or all of
/// them; nothing is taken from a set of files in which one is faulty.
#ifndef BANYANWORKS_MODEL_DECLARATIONS_H
#define BANYANWORKS_MODEL_DECLARATIONS_H

#include "model/Configuration.h"
#include "model/Diagnostic.h"

#include <string>
#include <vector>

namespace banyanworks {

/// The name of a declaration file beside a service's code.
inline constexpr const char *DeclarationFileName = "banyanworks.toml";

/// A file that was read.
struct SourceFile {
  std::string Path;
  std::string Text;
};

/// The configuration that a set of files declares, and the faults in them. The
/// configuration is meant for use only if there are no faults.
struct DeclarationResult {
  Configuration Config;
  std::vector<Diagnostic> Diagnostics;
};

/// Reads and checks all \p Files together.
DeclarationResult readDeclarations(const std::vector<SourceFile> &Files);

/// The faults of a configuration taken as a whole: names that nothing
/// declares, and values that contradict each other. \p File is named in them.
std::vector<Diagnostic> checkReferences(const Configuration &Config,
                                        const std::string &File);

/// Takes over from \p Current what operators set apart from the files: which
/// failure domains are out and which endpoints are leaving. Publishing files
/// must not undo it.
void keepOperatorState(const Configuration &Current, Configuration &Next);

} // namespace banyanworks

#endif
