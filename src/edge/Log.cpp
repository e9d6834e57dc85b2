/// \file
/// Implements log lines on glog.
#include "edge/Log.h"

#include "edge/LogLine.h"

#include <glog/logging.h>

namespace banyanworks {

namespace {

std::string formatLine(std::string_view Event,
                       std::initializer_list<LogField> Fields) {
  std::string Result = "event=" + std::string(Event);
  for (const LogField &Field : Fields)
    appendField(Result, Field.first, Field.second);
  return Result;
}

} // namespace

void startLog(const char *Program, int MinSeverity) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = MinSeverity;
  google::InitGoogleLogging(Program);
}

void logInfo(std::string_view Event, std::initializer_list<LogField> Fields) {
  LOG(INFO) << formatLine(Event, Fields);
}

void logWarning(std::string_view Event,
                std::initializer_list<LogField> Fields) {
  LOG(WARNING) << formatLine(Event, Fields);
}

void logError(std::string_view Event, std::initializer_list<LogField> Fields) {
  LOG(ERROR) << formatLine(Event, Fields);
}

} // namespace banyanworks
