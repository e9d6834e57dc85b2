/// \file
/// Defines Executor, a thread pool for blocking calls. Calls with the same key
/// run in the order of their submission.
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

/// Runs calls on threads that are started on demand.
class Executor {
public:
  /// Uses at most \p MaxThreads threads.
  explicit Executor(unsigned MaxThreads);
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  /// Runs \p Work after all earlier work with \p Key.
  void run(const std::string &Key, std::function<void()> Work);

  /// Runs all submitted work, then joins the threads; later work is dropped.
  void stop();

private:
  using Queue = std::deque<std::function<void()>>;

  void runWorker();

  std::mutex Lock;
  std::condition_variable WorkAvailable;
  /// Pending work by key; the front of a queue may be running.
  std::map<std::string, Queue> Queues;
  /// Keys whose first call can start now.
  std::deque<std::string> ReadyKeys;
  bool Stopping = false;
  unsigned MaxThreads;
  /// Threads that wait for work.
  unsigned IdleThreads = 0;
  std::vector<std::thread> Threads;
};

} // namespace banyanworks

#endif
