/// \file
/// Defines the keys under which the daemons keep what must outlive them.
#ifndef BANYANWORKS_POOL_STOREKEYS_H
#define BANYANWORKS_POOL_STOREKEYS_H

#include <string_view>

namespace banyanworks::pool {

/// What all daemons follow: jobs, their status, cancellations, the owner.
inline constexpr std::string_view SharedPrefix = "banyanworks/shared/";
/// A job as submitted, by its name. Created once and never changed.
inline constexpr std::string_view JobPrefix = "banyanworks/shared/job/";
/// Stands for a job that was turned away, so that an earlier attempt to submit
/// it that is still on its way cannot create it after all.
inline constexpr std::string_view RefusalMarker = "refused";
/// The load of the pool, as its owner sees it.
inline constexpr std::string_view LoadKey = "banyanworks/shared/load";
/// The status that callers are shown; absent while the job is queued.
inline constexpr std::string_view StatusPrefix = "banyanworks/shared/status/";
/// Exists once a caller has cancelled the job.
inline constexpr std::string_view CancelPrefix = "banyanworks/shared/cancel/";
/// The daemon that owns the pool, under its lease.
inline constexpr std::string_view OwnerKey = "banyanworks/shared/owner";
/// The last commit of the owner; each commit is conditional on the one before,
/// so that neither an earlier owner's nor a late one can take effect.
inline constexpr std::string_view HeadKey = "banyanworks/owner/head";
/// A job's JobProgress, by its name.
inline constexpr std::string_view ProgressPrefix =
    "banyanworks/owner/progress/";

} // namespace banyanworks::pool

#endif
