/// \file
/// Defines logging on glog: lines of stable key=value fields, with the ids by
/// which a job or request can be followed across daemons.
#ifndef BANYANWORKS_EDGE_LOG_H
#define BANYANWORKS_EDGE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace banyanworks {

/// One key=value field of a line.
using LogField = std::pair<std::string_view, std::string>;

/// Starts logging to standard error, from \p MinSeverity on.
void startLog(const char *Program, int MinSeverity);

void logInfo(std::string_view Event, std::initializer_list<LogField> Fields);
void logWarning(std::string_view Event, std::initializer_list<LogField> Fields);
void logError(std::string_view Event, std::initializer_list<LogField> Fields);

} // namespace banyanworks

#endif
