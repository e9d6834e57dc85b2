/// \file
/// Implements Executor.
#include "edge/Executor.h"

namespace banyanworks {

Executor::Executor(unsigned MaxThreads) : MaxThreads(MaxThreads) {}

Executor::~Executor() { stop(); }

void Executor::run(const std::string &Key, std::function<void()> Work) {
  std::lock_guard Guard(Lock);
  if (Stopping)
    return;
  Queue &KeyQueue = Queues[Key];
  KeyQueue.push_back(std::move(Work));
  if (KeyQueue.size() > 1)
    return;
  ReadyKeys.push_back(Key);
  if (IdleThreads < ReadyKeys.size() && Threads.size() < MaxThreads)
    Threads.emplace_back([this] { runWorker(); });
  WorkAvailable.notify_one();
}

void Executor::stop() {
  {
    std::lock_guard Guard(Lock);
    Stopping = true;
  }
  WorkAvailable.notify_all();
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

void Executor::runWorker() {
  std::unique_lock Guard(Lock);
  while (true) {
    ++IdleThreads;
    WorkAvailable.wait(Guard,
                       [this] { return Stopping || !ReadyKeys.empty(); });
    --IdleThreads;
    // On a stop, work queued behind a running call is left to the thread that
    // runs the call.
    if (ReadyKeys.empty())
      return;
    std::string Key = std::move(ReadyKeys.front());
    ReadyKeys.pop_front();
    std::function<void()> Work = std::move(Queues[Key].front());
    Guard.unlock();
    Work();
    Work = nullptr;
    Guard.lock();
    Queue &KeyQueue = Queues[Key];
    KeyQueue.pop_front();
    if (!KeyQueue.empty())
      ReadyKeys.push_back(Key);
    else
      Queues.erase(Key);
  }
}

} // namespace banyanworks
