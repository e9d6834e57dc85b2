/// \file
/// Defines the reader of a job file, what a caller submits, and its check
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

/// What a caller asks for; values that are left out come from the kind.
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

/// Reads a job file in TOML; nothing if it has faults.
std::optional<JobRequest> readJobFile(const std::string &Text,
                                      const std::string &File,
                                      std::vector<Diagnostic> &Diagnostics);

/// Encodes a job request for the callers' API.
std::string jobRequestToJson(const JobRequest &Request);

/// Decodes a job request; Reason::InvalidArgument if it is malformed.
Outcome<JobRequest> jobRequestFromJson(std::string_view Text);

/// The job's id: the same for the same workspace and key everywhere. Without a
/// key the id is \p Fallback, which must be unique.
JobId jobIdFor(const WorkspaceId &Workspace, const IdempotencyKey &Key,
               JobId Fallback);

/// Completes a request from its declared kind. Fails with UnknownService,
/// UnknownJobKind, UnknownDomain or ExceedsDeclaration.
Outcome<JobSpec> resolveJob(const JobRequest &Request,
                            const Configuration &Config, JobId Fallback);

} // namespace banyanworks

#endif
