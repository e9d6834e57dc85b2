/// \file
/// Implements the index of workers by available cores and memory.
#include "jobs/ResourceIndex.h"

#include <algorithm>

namespace banyanworks {

unsigned ResourceIndex::sizeClass(std::int64_t Amount) {
  constexpr unsigned StepsPerOctave = 4;
  // Cores are in millicores and memory in MiB; smaller amounts need no finer
  // distinction.
  constexpr std::int64_t Smallest = 128;
  if (Amount < Smallest)
    return 0;
  auto Value = static_cast<std::uint64_t>(Amount);
  unsigned Octave = std::bit_width(Value) - 1;
  unsigned Step = Value >> (Octave - 2) & (StepsPerOctave - 1);
  unsigned Base = std::bit_width(std::uint64_t(Smallest)) - 1;
  return std::min((Octave - Base) * StepsPerOctave + Step + 1, ClassCount - 1);
}

void ResourceIndex::update(WorkerSlot Slot, const Resources &Available) {
  if (Entries.size() <= Slot)
    Entries.resize(Slot + 1);
  auto Cores = static_cast<std::uint8_t>(sizeClass(Available.MilliCores));
  auto Memory = static_cast<std::uint8_t>(sizeClass(Available.MemoryMiB));
  Entry &Worker = Entries[Slot];
  if (Worker.Present && Worker.Cores == Cores && Worker.Memory == Memory)
    return;
  remove(Slot);
  auto &Bucket = Grid[Cores][Memory];
  Worker = {true, Cores, Memory, static_cast<std::uint32_t>(Bucket.size())};
  Bucket.push_back(Slot);
  OccupiedByCores[Cores] |= std::uint64_t(1) << Memory;
}

void ResourceIndex::remove(WorkerSlot Slot) {
  if (Slot >= Entries.size() || !Entries[Slot].Present)
    return;
  Entry &Worker = Entries[Slot];
  auto &Bucket = Grid[Worker.Cores][Worker.Memory];
  WorkerSlot Last = Bucket.back();
  Bucket[Worker.Position] = Last;
  Entries[Last].Position = Worker.Position;
  Bucket.pop_back();
  if (Bucket.empty())
    OccupiedByCores[Worker.Cores] &= ~(std::uint64_t(1) << Worker.Memory);
  Worker.Present = false;
}

} // namespace banyanworks
