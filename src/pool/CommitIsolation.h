/// \file
/// Defines CommitIsolation, which finds the job whose record makes the store
/// refuse a commit.
#ifndef BANYANWORKS_POOL_COMMITISOLATION_H
#define BANYANWORKS_POOL_COMMITISOLATION_H

#include "base/Ids.h"
#include "pool/TaskKey.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace banyanworks::pool {

/// A commit that the store refuses for its content cannot succeed by
/// repetition. Its jobs are then recorded one by one. A job is at fault only if
/// the store accepts a commit without any job before and after it refuses the
/// job's; a store that refuses everything proves nothing.
class CommitIsolation {
public:
  /// What the next commit may hold beside the head.
  enum class Scope : std::uint8_t {
    /// Everything that is due.
    Everything,
    /// Nothing else.
    HeadOnly,
    /// The changes of job() alone.
    OneJob,
  };

  Scope scope() const;
  JobId job() const { return Suspects.front(); }
  /// Whether the load may be published, and the lease bounds may be recorded.
  bool allowsLoad() const { return RefusedExtras < 1; }
  bool allowsBounds() const { return RefusedExtras < 2; }

  /// Handles a refused commit that held changes of \p Jobs, and the load or the
  /// lease bounds if \p HasExtras.
  void refused(const std::vector<JobId> &Jobs, bool HasExtras);
  /// Handles an accepted commit. Returns the job at fault once it is known.
  std::optional<JobId> accepted();

private:
  enum class Step : std::uint8_t { Idle, Probing, Trying, Confirming };

  /// Ends the search if no suspect is left.
  void proceed();

  Step Current = Step::Idle;
  std::deque<JobId> Suspects;
  bool ExtrasSuspected = false;
  bool Convicted = false;
  /// Kinds of other records that are left out: the load, then the bounds.
  unsigned RefusedExtras = 0;
};

} // namespace banyanworks::pool

#endif
