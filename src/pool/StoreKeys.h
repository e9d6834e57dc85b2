/// \file
/// Defines the store keys of the data that has to outlive the daemons.
#ifndef BANYANWORKS_POOL_STOREKEYS_H
#define BANYANWORKS_POOL_STOREKEYS_H

#include <string_view>

namespace banyanworks::pool {

/// Records that all daemons watch: jobs, their status, cancellations, the
/// owner and the load.
inline constexpr std::string_view SharedPrefix = "banyanworks/shared/";
/// A job as submitted, by job name. Created once and never changed.
inline constexpr std::string_view JobPrefix = "banyanworks/shared/job/";
/// Value stored in place of a rejected job, so that a delayed write of an
/// earlier submission cannot create the job after all.
inline constexpr std::string_view RefusalMarker = "refused";
/// Value stored in place of a job that was cancelled before it was accepted, so
/// that a submission which is still on its way cannot create it. Attached to a
/// lease of CancelMarks.
inline constexpr std::string_view CancelMark = "cancelled";
/// The load of the pool, as published by its owner.
inline constexpr std::string_view LoadKey = "banyanworks/shared/load";
/// The status shown to callers; absent while the job is queued.
inline constexpr std::string_view StatusPrefix = "banyanworks/shared/status/";
/// Exists once a caller has cancelled the job.
inline constexpr std::string_view CancelPrefix = "banyanworks/shared/cancel/";
/// The daemon that owns the pool, attached to its lease.
inline constexpr std::string_view OwnerKey = "banyanworks/shared/owner";
/// Records that only the owner reads and writes: the head, the lease bounds,
/// the hosts that it takes down and the progress of jobs.
inline constexpr std::string_view OwnerPrefix = "banyanworks/owner/";
/// The last commit of the owner. Each commit is conditional on the previous
/// one, so that neither a commit of an earlier owner nor a delayed one can
/// take effect.
inline constexpr std::string_view HeadKey = "banyanworks/owner/head";
/// The list of LeaseBounds; absent while it is empty.
inline constexpr std::string_view LeaseBoundsKey =
    "banyanworks/owner/lease-bounds";
/// The TakedownRecord; absent while it is empty.
inline constexpr std::string_view TakedownKey = "banyanworks/owner/takedowns";
/// Ends each value of the head that a daemon wrote which maintains the list of
/// LeaseBounds. Versions without the list extend the leases of listed workers,
/// so a list that is older than such a version's ownership is void.
inline constexpr std::string_view LeaseBoundsMarker = "/lease-bounds";
/// Ends each value of the head of an owner whose leases, and those of all its
/// predecessors that have not ended, keep the limit of LeaseHorizon. It
/// includes LeaseBoundsMarker.
inline constexpr std::string_view LeaseLimitMarker =
    "/lease-limit/lease-bounds";
/// The parts of the JobProgress of a job: the first one by job name, the others
/// with "/" and their number behind it.
inline constexpr std::string_view ProgressPrefix =
    "banyanworks/owner/progress/";

} // namespace banyanworks::pool

#endif
