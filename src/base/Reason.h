/// \file
/// Defines Reason, the machine-readable cause of each refusal, wait and retry,
/// and what is known about it: its code, a sentence, the HTTP status and
/// whether "not run" is certain.
#ifndef BANYANWORKS_BASE_REASON_H
#define BANYANWORKS_BASE_REASON_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace banyanworks {

/// Why something was refused, waits or was tried again. The codes are part of
/// the API and never change their meaning.
enum class Reason : std::uint8_t {
  None,
  // Input.
  InvalidArgument,
  UnknownWorkspace,
  UnknownService,
  UnknownMethod,
  UnknownJobKind,
  UnknownJob,
  UnknownDomain,
  KeyRequired,
  KeyReused,
  Unauthorized,
  PayloadTooLarge,
  // Requests.
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
  // Jobs.
  NeverFits,
  ExceedsDeclaration,
  QuotaExceeded,
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
  // State.
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

/// Whether the work that a refusal speaks of can have run.
enum class RunCertainty : std::uint8_t { NotRun, MayHaveRun, Ran };

/// What is known about a Reason.
struct ReasonInfo {
  Reason Code;
  std::string_view Name;
  int HttpStatus;
  RunCertainty Certainty;
  /// True if the same request may succeed later.
  bool Retryable;
  std::string_view Description;
};

/// Every reason, in the order of the enumeration.
std::span<const ReasonInfo> allReasons();

/// What is known about \p Code.
const ReasonInfo &reasonInfo(Reason Code);

/// The reason as an error code in the category "banyanworks".
std::error_code make_error_code(Reason Code);

} // namespace banyanworks

template <>
struct std::is_error_code_enum<banyanworks::Reason> : std::true_type {};

#endif
