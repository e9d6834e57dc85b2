/// \file
/// Implements JournalPage and its MessagePack codec.
#include "state/JournalPage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace banyanworks {

namespace {

using Json = nlohmann::json;

/// Encoded bytes of an entry besides its strings.
constexpr std::size_t EntryOverhead = 48;

std::size_t encodedSize(const JournalEntry &Entry) {
  return EntryOverhead + Entry.Domain.str().size() + Entry.Payload.size();
}

Json toJson(JobId Job, const JournalEntry &Entry) {
  Json::binary_t Payload(
      std::vector<std::uint8_t>(Entry.Payload.begin(), Entry.Payload.end()));
  return Json::array(
      {Job.value(), Entry.Domain.str(), static_cast<unsigned>(Entry.Phase),
       static_cast<unsigned>(Entry.Cause), Entry.Sequence, std::move(Payload)});
}

JournalEntry entryFromJson(const Json &List) {
  JournalEntry Entry;
  Entry.Domain = DomainId(List.at(1).get<std::string>());
  auto Phase = std::min(List.at(2).get<unsigned>(),
                        static_cast<unsigned>(JobPhase::Refused));
  Entry.Phase = static_cast<JobPhase>(Phase);
  auto CauseNumber = List.at(3).get<unsigned>();
  if (CauseNumber < static_cast<unsigned>(Reason::Count))
    Entry.Cause = static_cast<Reason>(CauseNumber);
  Entry.Sequence = List.at(4).get<std::uint64_t>();
  const Json::binary_t &Payload = List.at(5).get_binary();
  Entry.Payload.assign(Payload.begin(), Payload.end());
  return Entry;
}

} // namespace

bool isTerminalPhase(JobPhase Phase) { return Phase >= JobPhase::Succeeded; }

std::optional<JournalEntry>
JournalPage::accept(JobId Job, const DomainId &Domain, std::string Payload) {
  auto Existing = Entries.find(Job);
  if (Existing != Entries.end())
    return Existing->second;
  put(Job, {Domain, JobPhase::Queued, Reason::None, std::move(Payload), 0});
  return std::nullopt;
}

void JournalPage::end(JobId Job, const DomainId &Domain, JobPhase Phase,
                      Reason Cause) {
  put(Job, {Domain, Phase, Cause, {}, 0});
  dropOldestEnded();
}

void JournalPage::put(JobId Job, JournalEntry Entry) {
  if (Entry.Sequence == 0)
    Entry.Sequence = LastSequence + 1;
  LastSequence = std::max(LastSequence, Entry.Sequence);
  auto [Slot, Inserted] = Entries.try_emplace(Job);
  if (!Inserted) {
    Bytes -= encodedSize(Slot->second);
    EndedCount -= isTerminalPhase(Slot->second.Phase) ? 1 : 0;
  }
  Bytes += encodedSize(Entry);
  EndedCount += isTerminalPhase(Entry.Phase) ? 1 : 0;
  Slot->second = std::move(Entry);
}

void JournalPage::dropOldestEnded() {
  while (EndedCount > EndedJobsPerPage) {
    auto Oldest = Entries.end();
    for (auto It = Entries.begin(); It != Entries.end(); ++It) {
      if (!isTerminalPhase(It->second.Phase))
        continue;
      if (Oldest == Entries.end() ||
          It->second.Sequence < Oldest->second.Sequence)
        Oldest = It;
    }
    Bytes -= encodedSize(Oldest->second);
    --EndedCount;
    Entries.erase(Oldest);
  }
}

Epoch JournalPage::ownerOf(const DomainId &Domain) const {
  auto Found = Owners.find(Domain);
  return Found == Owners.end() ? Epoch() : Found->second;
}

std::string JournalPage::encode(const WriteIdentity &Identity) const {
  Json Jobs = Json::array();
  for (const auto &[Job, Entry] : Entries)
    Jobs.push_back(toJson(Job, Entry));
  Json Terms = Json::array();
  for (const auto &[Domain, Term] : Owners)
    Terms.push_back(Json::array({Domain.str(), Term.value()}));
  std::string Packed;
  Json::to_msgpack(Json::array({std::move(Terms), std::move(Jobs)}), Packed);
  return stampValue(Identity, Packed);
}

std::optional<JournalPage> JournalPage::decode(std::string_view Value) {
  auto Stamped = parseStampedValue(Value);
  if (!Stamped)
    return std::nullopt;
  try {
    JournalPage Page;
    Json Document = Json::from_msgpack(Stamped->Payload);
    for (const Json &Term : Document.at(0))
      Page.setOwner(DomainId(Term.at(0).get<std::string>()),
                    Epoch(Term.at(1).get<std::uint64_t>()));
    for (const Json &Entry : Document.at(1))
      Page.put(JobId(Entry.at(0).get<std::uint64_t>()), entryFromJson(Entry));
    return Page;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::uint64_t journalPageOf(JobId Job) {
  return (Job.value() * 0x9E3779B97F4A7C15ULL >> 32) % JournalPages;
}

std::string journalPageKey(std::uint64_t Page) {
  return std::string(JournalPrefix) + std::to_string(Page);
}

} // namespace banyanworks
