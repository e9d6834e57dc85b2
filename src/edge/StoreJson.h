/// \file
/// Defines the JSON codec of calls to the platform's store and their answers.
/// To support the users' own store protocol, replace this file and
/// StoreAdapter.cpp.
#ifndef BANYANWORKS_EDGE_STOREJSON_H
#define BANYANWORKS_EDGE_STOREJSON_H

#include "base/Error.h"
#include "state/Store.h"

#include <string>
#include <string_view>

namespace banyanworks {

std::string storeRequestToJson(const StoreRequest &Request);
Outcome<StoreRequest> storeRequestFromJson(std::string_view Text);

std::string storeAnswerToJson(const StoreAnswer &Answer);
Outcome<StoreAnswer> storeAnswerFromJson(std::string_view Text);

} // namespace banyanworks

#endif
