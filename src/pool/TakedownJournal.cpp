/// \file
/// Implements TakedownJournal.
#include "pool/TakedownJournal.h"

#include "base/DecisionLog.h"
#include "base/Timers.h"
#include "pool/StoreKeys.h"
#include "state/AsyncStore.h"

#include <algorithm>
#include <utility>

namespace banyanworks::pool {

namespace {

constexpr Duration WriteTimeout = std::chrono::milliseconds(1000);
constexpr Duration RetryDelay = std::chrono::milliseconds(150);

/// The entry of a key among the current entries of a rejected write; null if
/// the key does not exist.
const StoreEntry *currentEntry(const TransactionResult &Result,
                               std::string_view Key) {
  auto Found =
      std::find_if(Result.Current.begin(), Result.Current.end(),
                   [Key](const StoreEntry &Entry) { return Entry.Key == Key; });
  return Found == Result.Current.end() ? nullptr : &*Found;
}

} // namespace

TakedownJournal::TakedownJournal(AsyncStore &Store, Timers &Clock,
                                 DecisionLog &Log,
                                 std::function<void()> OnChange)
    : Store(Store), Clock(Clock), Log(Log), OnChange(std::move(OnChange)) {}

void TakedownJournal::open(Epoch NewToken) {
  close();
  Token = NewToken;
  read();
}

void TakedownJournal::close() {
  ++Term;
  Open = false;
  WriteInFlight = false;
  Inherited = Required = Stored = TakedownRecord();
  Version = StoreRevision();
}

void TakedownJournal::retryLater(std::function<void()> Work) {
  Clock.schedule(RetryDelay, [this, CallTerm = Term, Work = std::move(Work)] {
    if (CallTerm == Term)
      Work();
  });
}

void TakedownJournal::read() {
  Store.read(std::string(TakedownKey),
             [this, CallTerm = Term](const ListResult &Result) {
               if (CallTerm == Term)
                 onRead(Result);
             });
}

void TakedownJournal::onRead(const ListResult &Result) {
  if (Result.Status != CallStatus::Done) {
    retryLater([this] { read(); });
    return;
  }
  if (!Result.Entries.empty()) {
    const StoreEntry &Entry = Result.Entries.front();
    Version = Entry.Version;
    auto Decoded = TakedownRecord::decode(Entry.Value);
    if (Decoded)
      Inherited = Stored = std::move(*Decoded);
    else
      Log.write(LogLevel::Change, "hosts.record_ignored",
                {{"key", TakedownKey}, {"reason", Decoded.error().Message}});
  }
  Open = true;
  OnChange();
}

void TakedownJournal::update(TakedownRecord NewRequired) {
  Required = std::move(NewRequired);
  bool Obsolete = Required.empty() && Version != StoreRevision();
  if (Open && !WriteInFlight && (Obsolete || !Stored.covers(Required)))
    write();
}

void TakedownJournal::write() {
  WriteInFlight = true;
  Transaction Changes;
  // The version of the record keeps a delayed write from replacing a later one.
  Changes.Conditions = {{std::string(OwnerKey), StoreRevision(Token.value())},
                        {std::string(TakedownKey), Version}};
  std::string Value = Required.encode();
  if (Value.empty())
    Changes.Deletes.emplace_back(TakedownKey);
  else
    Changes.Puts.push_back(
        {std::string(TakedownKey), std::move(Value), StoreLeaseId()});
  Store.commit(Changes, WriteTimeout,
               [this, CallTerm = Term,
                Attempt = Required](const TransactionResult &Result) {
                 if (CallTerm == Term)
                   onWritten(Attempt, Result);
               });
}

void TakedownJournal::onWritten(const TakedownRecord &Attempt,
                                const TransactionResult &Result) {
  WriteInFlight = false;
  if (Result.Status == CallStatus::Done) {
    Stored = Attempt;
    Version = Attempt.empty() ? StoreRevision() : Result.Version;
  } else if (Result.Status == CallStatus::Rejected) {
    const StoreEntry *Owner = currentEntry(Result, OwnerKey);
    // A successor may own the pool, or is about to. The loss of the ownership
    // is reported to the journal's user soon.
    if (!Owner || Owner->Version != StoreRevision(Token.value())) {
      Log.write(LogLevel::Notice, "hosts.record_rejected",
                {{"token", Token.value()}});
      return;
    }
    // An earlier attempt without an answer has taken effect.
    const StoreEntry *Current = currentEntry(Result, TakedownKey);
    Version = Current ? Current->Version : StoreRevision();
    Stored = TakedownRecord();
    if (Current)
      Stored =
          TakedownRecord::decode(Current->Value).value_or(TakedownRecord());
  } else {
    retryLater([this] { update(Required); });
    return;
  }
  update(Required);
  OnChange();
}

} // namespace banyanworks::pool
