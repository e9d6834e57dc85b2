/// \file
/// Implements clusters for the placement tests.
#include "support/Clusters.h"

namespace banyanworks::test {

WorkerInfo makeWorker(const std::string &Id, std::uint32_t Rack,
                      std::int32_t Accelerators, const std::string &Model) {
  WorkerInfo Info;
  Info.Id = WorkerId(Id);
  Info.Domain = DomainId("d");
  Info.Rack = RackId("r" + std::to_string(Rack));
  Info.RackNumber = Rack;
  Info.Capacity = {64000, 262144, 0};
  if (Accelerators == 0)
    return Info;
  Info.Capacity = ShareOfAccelerator * Accelerators;
  Info.Capacity.Accelerators = Accelerators;
  Info.AcceleratorModel = Model;
  return Info;
}

void addRacks(CellTree &Cells, std::uint32_t Racks, std::uint32_t Workers,
              std::int32_t Accelerators) {
  for (std::uint32_t Rack = 0; Rack < Racks; ++Rack) {
    for (std::uint32_t Worker = 0; Worker < Workers; ++Worker) {
      Cells.addWorker(
          makeWorker("r" + std::to_string(Rack) + "w" + std::to_string(Worker),
                     Rack, Accelerators));
    }
  }
}

std::shared_ptr<JobSpec> makeJob(std::uint64_t Id, const std::string &Workspace,
                                 std::uint32_t Members,
                                 std::int32_t Accelerators) {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Id = JobId(Id);
  Spec->Workspace = WorkspaceId(Workspace);
  Spec->Members = Members;
  Spec->PerMember = {1000, 2048, 0};
  if (Accelerators == 0)
    return Spec;
  Spec->PerMember = {ShareOfAccelerator.MilliCores / 2 * Accelerators,
                     ShareOfAccelerator.MemoryMiB / 2 * Accelerators,
                     Accelerators};
  return Spec;
}

GuaranteedCell makeCell(CellLevel Level, std::int32_t Size,
                        std::int32_t Count) {
  GuaranteedCell Cell;
  Cell.Level = Level;
  Cell.Domain = DomainId("d");
  Cell.Count = Count;
  if (Level == CellLevel::Group)
    Cell.Accelerators = Size;
  if (Level == CellLevel::Rack)
    Cell.Workers = Size;
  return Cell;
}

bool allocateGang(CellTree &Cells, const JobSpec &Spec,
                  const std::vector<MemberPlacement> &Members) {
  std::uint32_t Number = 0;
  for (const MemberPlacement &Member : Members) {
    if (!Cells.allocate({Spec.Id, 0, Number}, Member.Worker, Spec.PerMember,
                        Member.Accelerators))
      return false;
    ++Number;
  }
  return Number == Spec.Members;
}

void releaseGang(CellTree &Cells, const JobSpec &Spec) {
  for (std::uint32_t Member = 0; Member < Spec.Members; ++Member)
    Cells.release({Spec.Id, 0, Member});
}

} // namespace banyanworks::test
