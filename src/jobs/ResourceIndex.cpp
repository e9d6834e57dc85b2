/// \file
/// Implements the index of workers by spare cores and memory.
#include "jobs/ResourceIndex.h"

#include <algorithm>

namespace banyanworks {

unsigned ResourceIndex::sizeClass(std::int64_t Amount) {
  constexpr unsigned StepsPerOctave = 4;
  // Cores are counted in thousandths and memory in MiB: below this amount a
  // finer distinction is not needed.
  constexpr std::int64_t Smallest = 128;
  if (Amount < Smallest)
    return 0;
  auto Value = static_cast<std::uint64_t>(Amount);
  unsigned Octave = std::bit_width(Value) - 1;
  unsigned Step = Value >> (Octave - 2) & (StepsPerOctave - 1);
  unsigned Base = std::bit_width(std::uint64_t(Smallest)) - 1;
  return std::min((Octave - Base) * StepsPerOctave + Step + 1, ClassCount - 1);
}

void ResourceIndex::update(WorkerSlot Slot, const Resources &Room) {
  if (Entries.size() <= Slot)
    Entries.resize(Slot + 1);
  auto Cores = static_cast<std::uint8_t>(sizeClass(Room.MilliCores));
  auto Memory = static_cast<std::uint8_t>(sizeClass(Room.MemoryMiB));
  Entry &Worker = Entries[Slot];
  if (Worker.Present && Worker.Cores == Cores && Worker.Memory == Memory)
    return;
  remove(Slot);
  auto &Place = Grid[Cores][Memory];
  Worker = {true, Cores, Memory, static_cast<std::uint32_t>(Place.size())};
  Place.push_back(Slot);
  OccupiedByCores[Cores] |= std::uint64_t(1) << Memory;
}

void ResourceIndex::remove(WorkerSlot Slot) {
  if (Slot >= Entries.size() || !Entries[Slot].Present)
    return;
  Entry &Worker = Entries[Slot];
  auto &Place = Grid[Worker.Cores][Worker.Memory];
  WorkerSlot Last = Place.back();
  Place[Worker.Position] = Last;
  Entries[Last].Position = Worker.Position;
  Place.pop_back();
  if (Place.empty())
    OccupiedByCores[Worker.Cores] &= ~(std::uint64_t(1) << Worker.Memory);
  Worker.Present = false;
}

} // namespace banyanworks
