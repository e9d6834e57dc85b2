/// \file
/// Implements the admission of jobs whose record cannot be written.
#include "state/OutageAdmission.h"

#include <xxhash.h>

namespace banyanworks {

DomainId outageHomeDomain(JobId Job, const std::vector<DomainId> &Domains) {
  DomainId Best;
  std::uint64_t BestHash = 0;
  for (const DomainId &Domain : Domains) {
    const std::string &Name = Domain.str();
    std::uint64_t Hash =
        XXH3_64bits_withSeed(Name.data(), Name.size(), Job.value());
    if (!Best.empty() && Hash <= BestHash)
      continue;
    Best = Domain;
    BestHash = Hash;
  }
  return Best;
}

OutageDecision
decideOutageAdmission(JobId Job, bool Keyed, const DomainId &Self,
                      const std::vector<DomainId> &Domains,
                      const std::map<DomainId, JobKnowledge> &Answers) {
  using Kind = OutageDecision::Kind;
  if (!Keyed)
    return {Kind::AcceptWhenHeld, Self, Reason::None};
  DomainId HomeDomain = outageHomeDomain(Job, Domains);
  if (HomeDomain != Self)
    return {Kind::Forward, HomeDomain, Reason::None};
  bool AllAbsent = true;
  for (const DomainId &Domain : Domains) {
    if (Domain == Self)
      continue;
    auto Found = Answers.find(Domain);
    JobKnowledge Knowledge =
        Found == Answers.end() ? JobKnowledge::Unreachable : Found->second;
    if (Knowledge == JobKnowledge::Known)
      return {Kind::KnownElsewhere, Domain, Reason::None};
    AllAbsent = AllAbsent && Knowledge == JobKnowledge::Absent;
  }
  if (!AllAbsent)
    return {Kind::Refuse, Self, Reason::StoreUnavailable};
  return {Kind::AcceptWhenHeld, Self, Reason::None};
}

} // namespace banyanworks
