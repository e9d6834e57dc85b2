/// \file
/// Defines LogHistory, which collects the history of one job from the logs of
/// several processes.
#ifndef BANYANWORKS_EDGE_LOGHISTORY_H
#define BANYANWORKS_EDGE_LOGHISTORY_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyanworks {

/// Keeps the lines that name the job or request, and those that give them
/// context: ownership, the store, and the workers that the job's lines name.
class LogHistory {
public:
  explicit LogHistory(std::string Id) : Id(std::move(Id)) {}

  /// Reads the log of one process, which \p Source names in the history.
  void read(std::istream &Log, const std::string &Source);
  /// Writes the lines in time order, with a note on each gap; false if no line
  /// names the id.
  bool write(std::ostream &Out) const;

private:
  struct Line {
    std::int64_t TimeMs = 0;
    std::string Event;
    std::string Text;
    std::string Source;
    std::string Worker;
    bool NamesJob = false;
  };

  std::vector<const Line *> selectLines() const;

  std::string Id;
  std::vector<Line> Lines;
};

} // namespace banyanworks

#endif
