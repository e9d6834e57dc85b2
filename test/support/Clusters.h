/// \file
/// Defines clusters, jobs and guaranteed cells for the placement tests.
#ifndef BANYANWORKS_TEST_SUPPORT_CLUSTERS_H
#define BANYANWORKS_TEST_SUPPORT_CLUSTERS_H

#include "jobs/CellTree.h"
#include "jobs/Placement.h"
#include "model/Configuration.h"

#include <memory>
#include <string>

namespace banyanworks::test {

/// Cores and memory per accelerator of a test worker.
inline constexpr Resources ShareOfAccelerator{4000, 16384, 0};

/// Returns a worker with ShareOfAccelerator per accelerator; without
/// accelerators it has 64 cores and 256 GiB.
WorkerInfo makeWorker(const std::string &Id, std::uint32_t Rack,
                      std::int32_t Accelerators,
                      const std::string &Model = "a");

/// Adds racks of equal workers named "r<rack>w<worker>".
void addRacks(CellTree &Cells, std::uint32_t Racks, std::uint32_t Workers,
              std::int32_t Accelerators);

/// Returns a job whose members request accelerators and half of their share of
/// cores and memory; without accelerators, one core and 2 GiB.
std::shared_ptr<JobSpec> makeJob(std::uint64_t Id, const std::string &Workspace,
                                 std::uint32_t Members,
                                 std::int32_t Accelerators);

/// Returns a guaranteed cell in failure domain "d". \p Size counts accelerators
/// of a Group or workers of a Rack.
GuaranteedCell makeCell(CellLevel Level, std::int32_t Size, std::int32_t Count);

/// Allocates the placements; false if one is not free or a member is missing.
bool allocateGang(CellTree &Cells, const JobSpec &Spec,
                  const std::vector<MemberPlacement> &Members);
/// Releases all members.
void releaseGang(CellTree &Cells, const JobSpec &Spec);

} // namespace banyanworks::test

#endif
