/// \file
/// Defines Reason, the machine-readable cause of a refusal, wait or retry, and
/// its properties: name, description, HTTP status, and whether the work is
/// certain not to have run.
#ifndef BANYANWORKS_BASE_REASON_H
#define BANYANWORKS_BASE_REASON_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace banyanworks {

/// The cause of a refusal, wait or retry. The names are part of the API and
/// never change their meaning.
enum class Reason : std::uint8_t {
  None,
  // Validation of input.
  InvalidArgument,
  UnknownWorkspace,
  UnknownService,
  UnknownMethod,
  UnknownJobKind,
  UnknownJob,
  JobCancelled,
  UnknownDomain,
  KeyRequired,
  KeyReused,
  Unauthorized,
  PayloadTooLarge,
  RequestIncomplete,
  // Request plane.
  EntryOverloaded,
  RateLimited,
  ConcurrencyLimited,
  QueueFull,
  DeadlineUnreachable,
  DeadlineExceeded,
  NoEndpoint,
  EndpointUnreachable,
  EndpointFailed,
  EndpointDraining,
  AnswerTruncated,
  RetryBudgetSpent,
  ClaimedElsewhere,
  CallerGone,
  OutcomeUnknown,
  AlreadyRan,
  // Job plane.
  NeverFits,
  ExceedsDeclaration,
  QuotaExceeded,
  ExceedsWorkspaceCap,
  WaitsForCapacity,
  WaitsForAdjacency,
  WaitsForGuarantee,
  WaitsForReclaim,
  WaitsForTurn,
  WaitsForBackoff,
  RestartLimit,
  HoldRefused,
  WorkerLost,
  WorkerSuspect,
  DomainOut,
  PermissionExpired,
  // Store, configuration and ownership.
  StoreUnavailable,
  StoreBudgetSpent,
  VersionConflict,
  GuaranteesDoNotFit,
  NotOwner,
  Recovering,
  DomainUnreachable,
  ShuttingDown,
  Count,
};

/// Whether the refused work can have run.
enum class RunCertainty : std::uint8_t { NotRun, MayHaveRun, Ran };

/// The properties of a Reason.
struct ReasonInfo {
  Reason Code;
  std::string_view Name;
  int HttpStatus;
  RunCertainty Certainty;
  /// True if the same request may succeed when it is retried later.
  bool Retryable;
  std::string_view Description;
};

/// Returns the properties of all reasons, in the order of the enumeration.
std::span<const ReasonInfo> allReasons();

/// Returns the properties of \p Code.
const ReasonInfo &reasonInfo(Reason Code);

/// Converts a reason to an error code of the category "banyanworks".
std::error_code make_error_code(Reason Code);

} // namespace banyanworks

template <>
struct std::is_error_code_enum<banyanworks::Reason> : std::true_type {};

#endif
