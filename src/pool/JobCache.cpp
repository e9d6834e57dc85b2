/// \file
/// Implements JobCache.
#include "pool/JobCache.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/JobName.h"
#include "pool/JobSpecJson.h"
#include "pool/StoreKeys.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace banyanworks::pool {

namespace {

/// Validity of a published load. The owner publishes the load at least every
/// OwnerLimits::LoadPublishInterval while work is queued; the rest allows for
/// the time until the entry arrives.
constexpr Duration LoadValidity = std::chrono::seconds(2);

} // namespace

JobCache::JobCache(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                   WatchTiming Timing)
    : Clock(Clock), Log(Log),
      Watch(Store, Clock, Log, std::string(SharedPrefix), Timing,
            [this](const std::string &Key, const StoreEntry *Entry) {
              entryChanged(Key, Entry);
            }) {
  Watch.setAppliedListener([this] { reportChangedJobs(); });
}

const JobCache::Entry *JobCache::findJob(JobId Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

std::size_t JobCache::countPending(const QueueId &Queue) const {
  return static_cast<std::size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [&](const auto &Item) {
        const Entry &Job = Item.second;
        return Job.Spec && Job.Spec->Queue == Queue &&
               !Job.Spec->isScheduled() &&
               Job.visibleStatus() == JobStatus::Queued;
      }));
}

void JobCache::entryChanged(const std::string &Key, const StoreEntry *Entry) {
  if (Key == OwnerKey) {
    Owner.reset();
    if (Entry)
      Owner = *Entry;
    if (OwnerListener)
      OwnerListener();
    return;
  }
  if (Key == LoadKey)
    loadChanged(Entry);
  else
    jobChanged(Key, Entry);
}

StoreRevision JobCache::refusalRevision(JobId Id) const {
  auto Found = RefusedJobs.find(Id);
  return Found == RefusedJobs.end() ? StoreRevision() : Found->second;
}

std::optional<TimePoint> JobCache::cancelMarkedAt(JobId Id) const {
  auto Found = CancelMarks.find(Id);
  if (Found == CancelMarks.end())
    return std::nullopt;
  return Found->second;
}

std::vector<JobId> JobCache::refusedJobs() const {
  std::vector<JobId> Result;
  Result.reserve(RefusedJobs.size());
  for (const auto &Entry : RefusedJobs)
    Result.push_back(Entry.first);
  return Result;
}

const PoolLoad *JobCache::load() const {
  return Load && Clock.now() - LoadReceivedAt < LoadValidity ? &*Load : nullptr;
}

void JobCache::loadChanged(const StoreEntry *Changed) {
  Load.reset();
  if (!Changed)
    return;
  auto Decoded = PoolLoad::decode(Changed->Value);
  if (!Decoded) {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Changed->Key}, {"reason", Decoded.error().Message}});
    return;
  }
  Load = std::move(*Decoded);
  AcceptedSinceLoad.erase(AcceptedSinceLoad.begin(),
                          AcceptedSinceLoad.upper_bound(Load->Covers));
  LoadReceivedAt = Clock.now();
}

void JobCache::jobChanged(const std::string &Key, const StoreEntry *Changed) {
  std::string_view Text(Key);
  std::string_view Prefix;
  for (std::string_view Kind : {JobPrefix, StatusPrefix, CancelPrefix})
    if (Text.starts_with(Kind))
      Prefix = Kind;
  auto Id = parseJobName(Text.substr(Prefix.size()));
  if (Prefix.empty() || !Id) {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Key}, {"reason", "unrecognized store key"}});
    return;
  }
  ChangedJobs.push_back(*Id);
  bool Refused = Changed && Changed->Value == RefusalMarker;
  bool Marked = Changed && Changed->Value == CancelMark;
  Entry &Job = Jobs[*Id];
  if (Prefix == JobPrefix) {
    if (Refused)
      RefusedJobs[*Id] = Changed->Version;
    else
      RefusedJobs.erase(*Id);
    if (Marked)
      CancelMarks[*Id] = Clock.now();
    else
      CancelMarks.erase(*Id);
  }
  if (Prefix == CancelPrefix) {
    Job.Cancelled = Changed != nullptr;
  } else if (Prefix == StatusPrefix) {
    auto Status = Changed ? parseJobStatus(Changed->Value) : JobStatus::Queued;
    if (Status)
      Job.Status = *Status;
    else
      Log.write(LogLevel::Notice, "record.ignored",
                {{"key", Key}, {"reason", "unknown job status"}});
  } else if (!Changed || Refused || Marked) {
    endRecord(Job);
  } else if (auto Spec = decodeJobSpec(Changed->Value)) {
    // An earlier record of the id has been removed.
    endRecord(Job);
    Job.Spec = std::move(*Spec);
    Job.Version = Changed->Version;
    if (!Load || Load->Covers < Job.Version)
      AcceptedSinceLoad[Job.Version] = *Id;
  } else {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Key}, {"reason", Spec.error().Message}});
  }
  bool Empty = !Job.Spec && !Job.Cancelled && Job.Status == JobStatus::Queued;
  if (Empty)
    Jobs.erase(*Id);
}

void JobCache::endRecord(Entry &Job) {
  AcceptedSinceLoad.erase(Job.Version);
  Job.Spec.reset();
}

void JobCache::reportChangedJobs() {
  std::set<JobId> Reported;
  for (JobId Id : std::exchange(ChangedJobs, {}))
    if (Reported.insert(Id).second && JobListener)
      JobListener(Id);
}

} // namespace banyanworks::pool
