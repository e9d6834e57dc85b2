/// \file
/// Defines fairDivision, max-min fair division of units.
#ifndef BANYANWORKS_REQUESTS_FAIRDIVISION_H
#define BANYANWORKS_REQUESTS_FAIRDIVISION_H

#include <cstdint>
#include <vector>

namespace banyanworks {

/// Divides \p Total units max-min fairly and returns the units by index of
/// \p Demands. No entry gets more than it wants, and no entry could get more
/// without reducing one that got no more. Units left over by rounding go to the
/// first entries.
std::vector<std::uint32_t>
fairDivision(std::uint32_t Total, const std::vector<std::uint32_t> &Demands);

} // namespace banyanworks

#endif
