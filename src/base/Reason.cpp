/// \file
/// Implements the table of reasons and their error category.
#include "base/Reason.h"

#include "base/Check.h"

#include <array>

namespace banyanworks {

namespace {

using enum Reason;
constexpr auto NotRun = RunCertainty::NotRun;
constexpr auto MayHaveRun = RunCertainty::MayHaveRun;

constexpr std::array Table = {
    ReasonInfo{None, "none", 200, RunCertainty::Ran, false, "No error."},
    ReasonInfo{InvalidArgument, "invalid_argument", 400, NotRun, false,
               "The request is malformed."},
    ReasonInfo{UnknownWorkspace, "unknown_workspace", 404, NotRun, false,
               "No such workspace is configured."},
    ReasonInfo{UnknownService, "unknown_service", 404, NotRun, false,
               "No such service is configured."},
    ReasonInfo{UnknownMethod, "unknown_method", 404, NotRun, false,
               "The service declares no such method."},
    ReasonInfo{UnknownJobKind, "unknown_job_kind", 404, NotRun, false,
               "The service declares no such kind of job."},
    ReasonInfo{UnknownJob, "unknown_job", 404, NotRun, false,
               "No such job is known."},
    ReasonInfo{UnknownDomain, "unknown_domain", 404, NotRun, false,
               "No such failure domain is configured."},
    ReasonInfo{KeyRequired, "key_required", 400, NotRun, false,
               "A method that is not repeatable needs an idempotency key."},
    ReasonInfo{KeyReused, "key_reused", 409, NotRun, false,
               "The idempotency key was used with another body."},
    ReasonInfo{Unauthorized, "unauthorized", 401, NotRun, false,
               "The token does not permit this operation."},
    ReasonInfo{PayloadTooLarge, "payload_too_large", 413, NotRun, false,
               "The body exceeds the limit."},
    ReasonInfo{
        RateLimited, "rate_limited", 429, NotRun, true,
        "The rate limit of the workspace, service or method is exceeded."},
    ReasonInfo{ConcurrencyLimited, "concurrency_limited", 429, NotRun, true,
               "Too many requests of this kind are in progress."},
    ReasonInfo{QueueFull, "queue_full", 503, NotRun, true,
               "The queue of the service is full."},
    ReasonInfo{DeadlineUnreachable, "deadline_unreachable", 503, NotRun, true,
               "The deadline cannot be met at the current load."},
    ReasonInfo{DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun, true,
               "The deadline passed before the response was complete."},
    ReasonInfo{NoEndpoint, "no_endpoint", 503, NotRun, true,
               "No endpoint of the service accepts requests."},
    ReasonInfo{
        EndpointUnreachable, "endpoint_unreachable", 502, NotRun, true,
        "The endpoint was unreachable; no part of the request was sent."},
    ReasonInfo{EndpointFailed, "endpoint_failed", 502, MayHaveRun, true,
               "The endpoint failed after it received the request."},
    ReasonInfo{EndpointDraining, "endpoint_draining", 503, NotRun, true,
               "The endpoint is draining and accepts no new requests."},
    ReasonInfo{AnswerTruncated, "answer_truncated", 502, MayHaveRun, true,
               "The response ended before it was complete."},
    ReasonInfo{RetryBudgetSpent, "retry_budget_spent", 503, NotRun, true,
               "The request did not run and the retry budget is exhausted."},
    ReasonInfo{ClaimedElsewhere, "claimed_elsewhere", 409, MayHaveRun, true,
               "A request with the same key is in progress on another daemon."},
    ReasonInfo{CallerGone, "caller_gone", 499, NotRun, false,
               "The caller disconnected before the request was sent."},
    ReasonInfo{OutcomeUnknown, "outcome_unknown", 504, MayHaveRun, false,
               "The request may have run; its outcome is unknown."},
    ReasonInfo{
        AlreadyRan, "already_ran", 409, RunCertainty::Ran, false,
        "A request with this key already ran; its response is not retained."},
    ReasonInfo{NeverFits, "never_fits", 422, NotRun, false,
               "The job exceeds the total capacity of every failure domain."},
    ReasonInfo{ExceedsDeclaration, "exceeds_declaration", 422, NotRun, false,
               "The job requests more than its kind declares."},
    ReasonInfo{QuotaExceeded, "quota_exceeded", 429, NotRun, true,
               "The quota of the workspace is exhausted."},
    ReasonInfo{WaitsForCapacity, "waits_for_capacity", 202, NotRun, true,
               "The job waits for free capacity."},
    ReasonInfo{WaitsForAdjacency, "waits_for_adjacency", 202, NotRun, true,
               "The free capacity does not satisfy the requested adjacency."},
    ReasonInfo{
        WaitsForGuarantee, "waits_for_guarantee", 202, NotRun, true,
        "The free capacity is reserved for guarantees of other workspaces."},
    ReasonInfo{WaitsForReclaim, "waits_for_reclaim", 202, NotRun, true,
               "Borrowed capacity is being reclaimed for this job."},
    ReasonInfo{WaitsForTurn, "waits_for_turn", 202, NotRun, true,
               "Other jobs come first in the queue order."},
    ReasonInfo{WaitsForBackoff, "waits_for_backoff", 202, NotRun, true,
               "The job failed and waits for its restart backoff."},
    ReasonInfo{RestartLimit, "restart_limit", 409, RunCertainty::Ran, false,
               "The job has used up its restart limit."},
    ReasonInfo{
        HoldRefused, "hold_refused", 503, NotRun, true,
        "A worker refused to reserve resources for a member of the gang."},
    ReasonInfo{WorkerLost, "worker_lost", 503, MayHaveRun, true,
               "A worker was lost while it ran a member of the gang."},
    ReasonInfo{WorkerSuspect, "worker_suspect", 503, NotRun, true,
               "The worker is quarantined because tasks failed on it."},
    ReasonInfo{DomainOut, "domain_out", 503, NotRun, true,
               "The failure domain was taken out of service."},
    ReasonInfo{PermissionExpired, "permission_expired", 503, NotRun, true,
               "The permission to start work in the failure domain expired."},
    ReasonInfo{StoreUnavailable, "store_unavailable", 503, NotRun, true,
               "The platform's store is unavailable."},
    ReasonInfo{StoreBudgetSpent, "store_budget_spent", 503, NotRun, true,
               "The budget of store calls is exhausted."},
    ReasonInfo{
        VersionConflict, "version_conflict", 409, NotRun, true,
        "The configuration was changed concurrently by another operator."},
    ReasonInfo{
        GuaranteesDoNotFit, "guarantees_do_not_fit", 422, NotRun, false,
        "The guaranteed cells do not all fit into the available capacity."},
    ReasonInfo{NotOwner, "not_owner", 503, NotRun, true,
               "This daemon does not schedule the failure domain."},
    ReasonInfo{Recovering, "recovering", 503, NotRun, true,
               "The new owner is still rebuilding its state."},
    ReasonInfo{DomainUnreachable, "domain_unreachable", 503, NotRun, true,
               "No daemon of the failure domain is reachable."},
    ReasonInfo{ShuttingDown, "shutting_down", 503, NotRun, true,
               "The daemon is shutting down."},
};
static_assert(Table.size() == static_cast<std::size_t>(Reason::Count));

class ReasonCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "banyanworks"; }
  std::string message(int Value) const override {
    return std::string(reasonInfo(static_cast<Reason>(Value)).Description);
  }
};

} // namespace

std::span<const ReasonInfo> allReasons() { return Table; }

const ReasonInfo &reasonInfo(Reason Code) {
  auto Index = static_cast<std::size_t>(Code);
  BANYANWORKS_CHECK(Index < Table.size(), "reason code out of range");
  const ReasonInfo &Info = Table[Index];
  BANYANWORKS_CHECK(
      Info.Code == Code,
      "table of reasons must follow the order of the enumeration");
  return Info;
}

std::error_code make_error_code(Reason Code) {
  static const ReasonCategory Category;
  return {static_cast<int>(Code), Category};
}

} // namespace banyanworks
