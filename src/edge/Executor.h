/// \file
/// Defines Executor, a pool of threads that runs blocking calls. Calls under
/// the same key run in the order in which they were given.
#ifndef BANYANWORKS_EDGE_EXECUTOR_H
#define BANYANWORKS_EDGE_EXECUTOR_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace banyanworks {

/// Runs calls on threads that are started when they are first needed.
class Executor {
public:
  /// Never has more than \p MostThreads threads.
  explicit Executor(unsigned MaxThreads);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  /// Runs \p Work after all earlier work under \p Key.
  void run(const std::string &Key, std::function<void()> Work);

  /// Runs what was given, then ends the threads; later work is dropped.
  void stop();

private:
  using Queue = std::deque<std::function<void()>>;

  void runWorker();

  std::mutex Lock;
  std::condition_variable WorkAvailable;
  /// Work under each key that has any; the front may be running.
  std::map<std::string, Queue> Queues;
  /// Keys whose front may run now.
  std::deque<std::string> ReadyKeys;
  bool Stopping = false;
  unsigned MaxThreads;
  /// Threads that wait for work.
  unsigned IdleThreads = 0;
  std::vector<std::thread> Threads;
};

} // namespace banyanworks

#endif
