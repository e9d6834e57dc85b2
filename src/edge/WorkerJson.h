/// \file
/// Defines the JSON codec of the messages between workers and daemons.
#ifndef BANYANWORKS_EDGE_WORKERJSON_H
#define BANYANWORKS_EDGE_WORKERJSON_H

#include "base/Error.h"
#include "edge/WorkerMessages.h"

#include <string>
#include <string_view>

namespace banyanworks {

std::string workerReportToJson(const WorkerReport &Report);
Outcome<WorkerReport> workerReportFromJson(std::string_view Text);

std::string reportAnswerToJson(const ReportAnswer &Answer);
Outcome<ReportAnswer> reportAnswerFromJson(std::string_view Text);

std::string inventoryToJson(const WorkerInventory &Inventory);
Outcome<WorkerInventory> inventoryFromJson(std::string_view Text);

std::string workerOrderToJson(const WorkerOrder &Order);
Outcome<WorkerOrder> workerOrderFromJson(std::string_view Text);

std::string orderResultToJson(OrderResult Result);
Outcome<OrderResult> orderResultFromJson(std::string_view Text);

} // namespace banyanworks

#endif
