/// \file
/// Implements fairDivision by assigning units round robin.
#include "requests/FairDivision.h"

namespace banyanworks {

std::vector<std::uint32_t>
fairDivision(std::uint32_t Total, const std::vector<std::uint32_t> &Demands) {
  std::vector<std::uint32_t> Parts(Demands.size(), 0);
  bool Progress = true;
  while (Total > 0 && Progress) {
    Progress = false;
    for (std::size_t Index = 0; Index < Demands.size() && Total > 0; ++Index) {
      if (Parts[Index] >= Demands[Index])
        continue;
      ++Parts[Index];
      --Total;
      Progress = true;
    }
  }
  return Parts;
}

} // namespace banyanworks
