/// \file
/// Implements AdviceCache.
#include "pool/AdviceCache.h"

#include "pool/PoolWorker.h"

#include <algorithm>

namespace banyanworks::pool {

const std::string *AdviceCache::ticket(const StepKey &Step,
                                       const PoolWorker &Worker,
                                       TimePoint Now) const {
  auto Advice = Steps.find(Step);
  if (Advice == Steps.end())
    return nullptr;
  auto Found = Advice->second.Tickets.find(Worker.Id);
  if (Found == Advice->second.Tickets.end() || Found->second.ExpiresAt <= Now ||
      Found->second.WorkerIncarnation != Worker.WorkerIncarnation)
    return nullptr;
  return &Found->second.Text;
}

bool AdviceCache::mayAsk(const StepKey &Step, const PoolWorker &Worker,
                         TimePoint Now) const {
  auto Advice = Steps.find(Step);
  if (Advice == Steps.end())
    return true;
  return !Advice->second.Denied.contains(Worker.Id) &&
         !ticket(Step, Worker, Now);
}

void AdviceCache::recordResponse(const AdviceRequest &Request,
                                 const AdviceResponse &Response,
                                 TimePoint SentAt) {
  if (!Response.Answered)
    return;
  StepAdvice &Advice = Steps[Request.Step];
  std::map<WorkerId, std::string> Allowed(Response.Allowed.begin(),
                                          Response.Allowed.end());
  for (const auto &[Id, WorkerIncarnation] : Request.Workers) {
    auto Found = Allowed.find(Id);
    if (Found == Allowed.end()) {
      Advice.Tickets.erase(Id);
      Advice.Denied.insert(Id);
      continue;
    }
    Advice.Tickets[Id] = {Found->second, SentAt + Response.Validity,
                          WorkerIncarnation};
  }
}

void AdviceCache::dropTicket(const StepKey &Step, const WorkerId &Worker) {
  auto Advice = Steps.find(Step);
  if (Advice != Steps.end())
    Advice->second.Tickets.erase(Worker);
}

void AdviceCache::eraseJob(JobId Job) {
  auto First = Steps.lower_bound({Job, 0, 0});
  auto Last = std::find_if(First, Steps.end(), [Job](const auto &Entry) {
    return Entry.first.Job != Job;
  });
  Steps.erase(First, Last);
}

} // namespace banyanworks::pool
