/// \file
/// Implements JobBoard.
#include "pool/JobBoard.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/JobName.h"
#include "pool/JobSpecJson.h"
#include "pool/StoreKeys.h"

#include <algorithm>
#include <string_view>

namespace banyanworks::pool {

namespace {

/// The owner tells the load at least so often while work waits (OwnerLimits::
/// LoadInterval), with some time for the way here.
constexpr Duration LoadLasts = std::chrono::seconds(3);

} // namespace

JobBoard::JobBoard(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                   WatchPace Pace)
    : Clock(Clock), Log(Log),
      Watch(Store, Clock, Log, std::string(SharedPrefix), Pace,
            [this](const std::string &Key, const StoreEntry *Entry) {
              entryChanged(Key, Entry);
            }) {}

const JobBoard::Entry *JobBoard::job(JobId Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

std::size_t JobBoard::pending(const QueueId &Queue) const {
  return static_cast<std::size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [&](const auto &Item) {
        const Entry &Job = Item.second;
        return Job.Spec && Job.Spec->Queue == Queue && !Job.Spec->scheduled() &&
               Job.shown() == JobStatus::Queued;
      }));
}

void JobBoard::entryChanged(const std::string &Key, const StoreEntry *Entry) {
  if (Key == OwnerKey) {
    Owner.reset();
    if (Entry)
      Owner = *Entry;
    if (OwnerChanged)
      OwnerChanged();
    return;
  }
  if (Key == LoadKey)
    loadChanged(Entry);
  else
    jobChanged(Key, Entry);
}

StoreRevision JobBoard::refusalMark(JobId Id) const {
  auto Found = Refused.find(Id);
  return Found == Refused.end() ? StoreRevision() : Found->second;
}

std::vector<JobId> JobBoard::refusedJobs() const {
  std::vector<JobId> Result;
  Result.reserve(Refused.size());
  for (const auto &Entry : Refused)
    Result.push_back(Entry.first);
  return Result;
}

const PoolLoad *JobBoard::load() const {
  return Load && Clock.now() - LoadSeenAt < LoadLasts ? &*Load : nullptr;
}

void JobBoard::loadChanged(const StoreEntry *Changed) {
  Load.reset();
  if (!Changed)
    return;
  auto Told = PoolLoad::decode(Changed->Value);
  if (!Told) {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Changed->Key}, {"reason", Told.error().Message}});
    return;
  }
  Load = std::move(*Told);
  LoadSeenAt = Clock.now();
}

void JobBoard::jobChanged(const std::string &Key, const StoreEntry *Changed) {
  std::string_view Text(Key);
  std::string_view Prefix;
  for (std::string_view Kind : {JobPrefix, StatusPrefix, CancelPrefix})
    if (Text.starts_with(Kind))
      Prefix = Kind;
  auto Id = parseJobName(Text.substr(Prefix.size()));
  if (Prefix.empty() || !Id) {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Key}, {"reason", "unknown kind of key"}});
    return;
  }
  if (Prefix == JobPrefix) {
    if (Changed && Changed->Value == RefusalMark) {
      Refused[*Id] = Changed->Version;
      if (JobChanged)
        JobChanged(*Id);
      return;
    }
    Refused.erase(*Id);
  }
  Entry &Job = Jobs[*Id];
  if (Prefix == CancelPrefix) {
    Job.Cancelled = Changed != nullptr;
  } else if (Prefix == StatusPrefix) {
    auto Status = Changed ? parseJobStatus(Changed->Value) : JobStatus::Queued;
    if (Status)
      Job.Status = *Status;
    else
      Log.write(LogLevel::Notice, "record.ignored",
                {{"key", Key}, {"reason", "unknown status"}});
  } else if (!Changed) {
    Job.Spec.reset();
  } else if (auto Spec = decodeJobSpec(Changed->Value)) {
    Job.Spec = std::move(*Spec);
  } else {
    Log.write(LogLevel::Notice, "record.ignored",
              {{"key", Key}, {"reason", Spec.error().Message}});
  }
  bool Empty = !Job.Spec && !Job.Cancelled && Job.Status == JobStatus::Queued;
  if (Empty)
    Jobs.erase(*Id);
  if (JobChanged)
    JobChanged(*Id);
}

} // namespace banyanworks::pool
