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
    ReasonInfo{None, "none", 200, RunCertainty::Ran, false, "No fault."},
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
    ReasonInfo{JobCancelled, "job_cancelled", 410, NotRun, false,
               "The job was cancelled before it was accepted."},
    ReasonInfo{UnknownDomain, "unknown_domain", 404, NotRun, false,
               "No such failure domain is configured."},
    ReasonInfo{KeyRequired, "key_required", 400, NotRun, false,
               "A method that is not repeatable needs an idempotency key."},
    ReasonInfo{KeyReused, "key_reused", 409, NotRun, false,
               "The idempotency key was used with another body."},
    ReasonInfo{Unauthorized, "unauthorized", 401, NotRun, false,
               "The token does not permit this."},
    ReasonInfo{PayloadTooLarge, "payload_too_large", 413, NotRun, false,
               "The body exceeds the limit."},
    ReasonInfo{RequestIncomplete, "request_incomplete", 408, NotRun, true,
               "The request did not arrive whole in time."},
    ReasonInfo{EntryOverloaded, "entry_overloaded", 503, NotRun, true,
               "The daemon has no room for the request."},
    ReasonInfo{RateLimited, "rate_limited", 429, NotRun, true,
               "The rate limit of the workspace, service or method is spent."},
    ReasonInfo{ConcurrencyLimited, "concurrency_limited", 429, NotRun, true,
               "Too many requests of this kind are in progress."},
    ReasonInfo{QueueFull, "queue_full", 503, NotRun, true,
               "The queue of the service is full."},
    ReasonInfo{DeadlineUnreachable, "deadline_unreachable", 503, NotRun, true,
               "The deadline cannot be met at the present load."},
    ReasonInfo{DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun, true,
               "The deadline passed before the whole answer arrived."},
    ReasonInfo{NoEndpoint, "no_endpoint", 503, NotRun, true,
               "No endpoint of the service takes work."},
    ReasonInfo{EndpointUnreachable, "endpoint_unreachable", 502, NotRun, true,
               "The endpoint could not be reached and received nothing."},
    ReasonInfo{EndpointFailed, "endpoint_failed", 502, MayHaveRun, true,
               "The endpoint failed after it had received the request."},
    ReasonInfo{EndpointDraining, "endpoint_draining", 503, NotRun, true,
               "The endpoint is leaving and takes no new work."},
    ReasonInfo{AnswerTruncated, "answer_truncated", 502, MayHaveRun, true,
               "The answer ended before it was whole."},
    ReasonInfo{RetryBudgetSpent, "retry_budget_spent", 503, NotRun, true,
               "The request did not run and the retry budget is spent."},
    ReasonInfo{ClaimedElsewhere, "claimed_elsewhere", 409, MayHaveRun, true,
               "The same key is in progress elsewhere."},
    ReasonInfo{CallerGone, "caller_gone", 499, NotRun, false,
               "The caller left before the request was sent."},
    ReasonInfo{OutcomeUnknown, "outcome_unknown", 504, MayHaveRun, false,
               "The request may have run; its outcome is not known."},
    ReasonInfo{AlreadyRan, "already_ran", 409, RunCertainty::Ran, false,
               "The request ran under this key; its answer is not kept."},
    ReasonInfo{NeverFits, "never_fits", 422, NotRun, false,
               "No failure domain could ever hold this job."},
    ReasonInfo{ExceedsDeclaration, "exceeds_declaration", 422, NotRun, false,
               "The job asks for more than its kind declares."},
    ReasonInfo{QuotaExceeded, "quota_exceeded", 429, NotRun, true,
               "The quota of the workspace is spent."},
    ReasonInfo{ExceedsWorkspaceCap, "exceeds_workspace_cap", 429, NotRun, false,
               "A gang of the job is larger than its workspace's cap."},
    ReasonInfo{WaitsForCapacity, "waits_for_capacity", 202, NotRun, true,
               "The job waits for free capacity."},
    ReasonInfo{WaitsForAdjacency, "waits_for_adjacency", 202, NotRun, true,
               "There is capacity, but not with the adjacency asked for."},
    ReasonInfo{WaitsForGuarantee, "waits_for_guarantee", 202, NotRun, true,
               "The free capacity is needed for guarantees of others."},
    ReasonInfo{WaitsForReclaim, "waits_for_reclaim", 202, NotRun, true,
               "Lent capacity is being reclaimed for this job."},
    ReasonInfo{WaitsForTurn, "waits_for_turn", 202, NotRun, true,
               "Other jobs come first by priority and share."},
    ReasonInfo{WaitsForBackoff, "waits_for_backoff", 202, NotRun, true,
               "The job failed and waits before its next run."},
    ReasonInfo{RestartLimit, "restart_limit", 409, RunCertainty::Ran, false,
               "The job failed as often as its restart limit allows."},
    ReasonInfo{HoldRefused, "hold_refused", 503, NotRun, true,
               "A worker refused to hold a member of the gang."},
    ReasonInfo{WorkerLost, "worker_lost", 503, MayHaveRun, true,
               "A worker was lost while it ran a member of the gang."},
    ReasonInfo{WorkerSuspect, "worker_suspect", 503, NotRun, true,
               "The worker is set aside, since tasks fail on it."},
    ReasonInfo{DomainOut, "domain_out", 503, NotRun, true,
               "The failure domain was taken out of service."},
    ReasonInfo{PermissionExpired, "permission_expired", 503, NotRun, true,
               "The permission to start work in the failure domain lapsed."},
    ReasonInfo{StoreUnavailable, "store_unavailable", 503, NotRun, true,
               "The platform's store does not answer."},
    ReasonInfo{StoreBudgetSpent, "store_budget_spent", 503, NotRun, true,
               "The budget of store calls is spent."},
    ReasonInfo{VersionConflict, "version_conflict", 409, NotRun, true,
               "Another operator published first."},
    ReasonInfo{GuaranteesDoNotFit, "guarantees_do_not_fit", 422, NotRun, false,
               "The guaranteed shapes do not all fit together."},
    ReasonInfo{NotOwner, "not_owner", 503, NotRun, true,
               "This daemon does not schedule the failure domain."},
    ReasonInfo{Recovering, "recovering", 503, NotRun, true,
               "The new owner still rebuilds its state."},
    ReasonInfo{DomainUnreachable, "domain_unreachable", 503, NotRun, true,
               "No daemon of the failure domain can be reached."},
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
