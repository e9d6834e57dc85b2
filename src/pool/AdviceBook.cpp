/// \file
/// Implements AdviceBook.
#include "pool/AdviceBook.h"

#include "pool/PoolWorker.h"

namespace banyanworks::pool {

const std::string *AdviceBook::ticket(const StepKey &Step,
                                      const PoolWorker &Worker,
                                      TimePoint Now) const {
  auto Advice = Steps.find(Step);
  if (Advice == Steps.end())
    return nullptr;
  auto Found = Advice->second.Tickets.find(Worker.Id);
  if (Found == Advice->second.Tickets.end() ||
      Found->second.HoldsUntil <= Now || Found->second.Life != Worker.Life)
    return nullptr;
  return &Found->second.Text;
}

bool AdviceBook::askable(const StepKey &Step, const PoolWorker &Worker,
                         TimePoint Now) const {
  auto Advice = Steps.find(Step);
  if (Advice == Steps.end())
    return true;
  return !Advice->second.NotAllowed.contains(Worker.Id) &&
         !ticket(Step, Worker, Now);
}

void AdviceBook::answered(const AdviceQuestion &Question,
                          const AdviceAnswer &Answer, TimePoint SentAt) {
  if (!Answer.Answered)
    return;
  StepAdvice &Advice = Steps[Question.Step];
  std::map<WorkerId, std::string> Allowed(Answer.Allowed.begin(),
                                          Answer.Allowed.end());
  for (const auto &[Id, Life] : Question.Workers) {
    auto Found = Allowed.find(Id);
    if (Found == Allowed.end()) {
      Advice.Tickets.erase(Id);
      Advice.NotAllowed.insert(Id);
      continue;
    }
    Advice.Tickets[Id] = {Found->second, SentAt + Answer.Validity, Life};
  }
}

void AdviceBook::refused(const StepKey &Step, const WorkerId &Worker) {
  auto Advice = Steps.find(Step);
  if (Advice != Steps.end())
    Advice->second.Tickets.erase(Worker);
}

void AdviceBook::forget(JobId Job) {
  Steps.erase(Steps.lower_bound({Job, 0, 0}),
              Steps.lower_bound({JobId(Job.value() + 1), 0, 0}));
}

} // namespace banyanworks::pool
