/// \file
/// Defines the reader of job files, which callers submit, and their validation
/// against the declared kind of job.
#ifndef BANYANWORKS_MODEL_JOBFILE_H
#define BANYANWORKS_MODEL_JOBFILE_H

#include "base/Error.h"
#include "model/Diagnostic.h"
#include "model/Job.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanworks {

struct Configuration;

/// A request to run a job; omitted values are taken from the kind of job.
struct JobRequest {
  ServiceId Service;
  JobKindId Kind;
  IdempotencyKey Key;
  std::optional<std::uint32_t> Members;
  std::optional<std::int64_t> MilliCores;
  std::optional<std::int64_t> MemoryMiB;
  std::optional<std::int32_t> Accelerators;
  std::optional<Duration> ExpectedRunTime;
  DomainId Domain;
};

/// Reads a job file in TOML. On errors, adds them to \p Diagnostics and returns
/// nullopt.
std::optional<JobRequest> readJobFile(const std::string &Text,
                                      const std::string &File,
                                      std::vector<Diagnostic> &Diagnostics);

/// Encodes a job request as JSON for the callers' API.
std::string jobRequestToJson(const JobRequest &Request);

/// Decodes a job request; fails with Reason::InvalidArgument if the text is
/// malformed.
Outcome<JobRequest> jobRequestFromJson(std::string_view Text);

/// Returns the id of a job. It is a hash of workspace and key, so that all
/// daemons compute the same id. Without a key it is \p Fallback, which must be
/// unique.
JobId jobIdFor(const WorkspaceId &Workspace, const IdempotencyKey &Key,
               JobId Fallback);

/// Completes a request with the values of its declared kind. Fails with
/// Reason::UnknownService, UnknownJobKind, UnknownDomain or ExceedsDeclaration.
Outcome<JobSpec> resolveJob(const JobRequest &Request,
                            const Configuration &Config, JobId Fallback);

} // namespace banyanworks

#endif
