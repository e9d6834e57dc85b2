/// \file
/// Implements CommitIsolation.
#include "pool/CommitIsolation.h"

namespace banyanworks::pool {

CommitIsolation::Scope CommitIsolation::scope() const {
  switch (Current) {
  case Step::Idle:
    return Scope::Everything;
  case Step::Trying:
    return Scope::OneJob;
  case Step::Probing:
  case Step::Confirming:
    break;
  }
  return Scope::HeadOnly;
}

void CommitIsolation::refused(const std::vector<JobId> &Jobs, bool HasExtras) {
  switch (Current) {
  case Step::Idle:
    Suspects.assign(Jobs.begin(), Jobs.end());
    ExtrasSuspected = HasExtras;
    Convicted = false;
    Current = Step::Probing;
    return;
  case Step::Trying:
    Current = Step::Confirming;
    return;
  case Step::Probing:
  case Step::Confirming:
    // The store refuses everything.
    Current = Step::Probing;
    return;
  }
}

std::optional<JobId> CommitIsolation::accepted() {
  switch (Current) {
  case Step::Idle:
    break;
  case Step::Probing:
    Current = Step::Trying;
    proceed();
    break;
  case Step::Trying:
    Suspects.pop_front();
    proceed();
    break;
  case Step::Confirming: {
    JobId AtFault = Suspects.front();
    Suspects.pop_front();
    Convicted = true;
    Current = Step::Trying;
    proceed();
    return AtFault;
  }
  }
  return std::nullopt;
}

void CommitIsolation::proceed() {
  if (!Suspects.empty())
    return;
  Current = Step::Idle;
  if (!Convicted && ExtrasSuspected)
    ++RefusedExtras;
}

} // namespace banyanworks::pool
