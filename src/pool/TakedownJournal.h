/// \file
/// Defines TakedownJournal, which stores a TakedownRecord while a daemon owns
/// the pool.
#ifndef BANYANWORKS_POOL_TAKEDOWNJOURNAL_H
#define BANYANWORKS_POOL_TAKEDOWNJOURNAL_H

#include "base/Ids.h"
#include "pool/TakedownRecord.h"
#include "state/Store.h"

#include <cstdint>
#include <functional>
#include <string>

namespace banyanworks {
class AsyncStore;
class DecisionLog;
class Timers;
struct ListResult;
struct TransactionResult;
} // namespace banyanworks

namespace banyanworks::pool {

/// An order to take a host down may take effect long after it was sent, also
/// beside the orders of a successor. So each host is recorded before it is
/// ordered, on the condition that this daemon still owns the pool: a successor
/// either finds the record, or the order is never sent.
class TakedownJournal {
public:
  /// \p OnChange is called when the record has been read or written.
  TakedownJournal(AsyncStore &Store, Timers &Clock, DecisionLog &Log,
                  std::function<void()> OnChange);

  /// Starts to read the record of earlier owners, for the ownership \p Token.
  void open(Epoch Token);
  /// Forgets the record; answers to earlier calls have no effect.
  void close();
  /// True once the record of earlier owners has been read.
  bool isOpen() const { return Open; }

  /// The hosts that earlier owners had recorded.
  const TakedownRecord &inherited() const { return Inherited; }
  /// Whether the host is known to be in the stored record.
  bool contains(WaveNumber Wave, const HostId &Host) const {
    return Stored.contains(Wave, Host);
  }
  /// Replaces the record. Writes it if a host is missing from the stored one,
  /// or if no host is left; else the next write drops what has become obsolete.
  void update(TakedownRecord Required);

private:
  void read();
  void onRead(const ListResult &Result);
  void write();
  void onWritten(const TakedownRecord &Attempt,
                 const TransactionResult &Result);
  /// Calls \p Work after a delay, unless the journal is closed until then.
  void retryLater(std::function<void()> Work);

  AsyncStore &Store;
  Timers &Clock;
  DecisionLog &Log;
  std::function<void()> OnChange;
  Epoch Token;
  bool Open = false;
  bool WriteInFlight = false;
  TakedownRecord Inherited;
  TakedownRecord Required;
  /// The record as last written, and its version; zero if there is none.
  TakedownRecord Stored;
  StoreRevision Version;
  /// Incremented by open() and close().
  std::uint64_t Term = 0;
};

} // namespace banyanworks::pool

#endif
