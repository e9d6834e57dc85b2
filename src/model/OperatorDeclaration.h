/// \file
/// Defines the readers of the operators' section of a declaration file.
#ifndef BANYANWORKS_MODEL_OPERATORDECLARATION_H
#define BANYANWORKS_MODEL_OPERATORDECLARATION_H

namespace banyanworks {

class TomlReader;
struct Configuration;

/// Reads [domain.NAME] and [workspace.NAME] of \p File into \p Config.
void readOperatorDeclaration(TomlReader &File, Configuration &Config);

/// Reads [endpoints.SERVICE] of \p File into the services of \p Config, which
/// must already contain the services of all files.
void readEndpoints(TomlReader &File, Configuration &Config);

} // namespace banyanworks

#endif
