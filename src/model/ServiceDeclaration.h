/// \file
/// Defines the reader of a service's section of a declaration file.
#ifndef BANYANWORKS_MODEL_SERVICEDECLARATION_H
#define BANYANWORKS_MODEL_SERVICEDECLARATION_H

namespace banyanworks {

class TomlReader;
struct Configuration;
struct JobKind;

/// Reads [service], [method.NAME] and [job.NAME] of \p File into \p Config.
void readServiceDeclaration(TomlReader &File, Configuration &Config);

/// Reads the fields of [job.NAME] into \p Kind.
void readJobKind(TomlReader &Table, JobKind &Kind);

} // namespace banyanworks

#endif
