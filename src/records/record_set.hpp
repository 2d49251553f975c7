// All live records of the cluster in decoded form. Decisions read this set; only the watch cache
// writes it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "records/records.hpp"

namespace marblevale {

/// A record with the revision at which it was last written.
template <typename Record>
struct Versioned {
  Record record;
  ModRevision mod_revision;
};

/// Identifies a slice by its job and its number within the job.
struct SliceKey {
  JobId job_id;
  std::uint32_t number = 0;
  auto operator<=>(const SliceKey&) const = default;
};

/// All live records, by kind.
struct Records {
  std::optional<Versioned<LeaderRecord>> leader;
  std::optional<Versioned<std::vector<MachineType>>> types;
  std::map<NodeId, Versioned<NodeRecord>> nodes;
  std::map<ZoneId, Versioned<ShardRecord>> shards;
  std::unordered_map<JobId, Versioned<JobRecord>> jobs;
  std::unordered_map<JobId, Versioned<GuaranteeRecord>> guarantee_records;
  std::map<SliceKey, Versioned<SliceRecord>> slices;
  std::map<MachineId, Versioned<MachineRecord>>
      machines;  // the revision is the one of the machine's page
  std::map<std::string, Versioned<std::vector<MachineId>>> pages;  // machines of each page, by key
  std::map<std::string, Versioned<ProvisioningRequest>> provisioning_requests;
  /// Keys whose values this version can't read. No decision is made about the objects that these
  /// keys stand for.
  std::set<std::string> unreadable;
  /// The tasks that are placed on each machine, with the attempt of each.
  std::unordered_map<MachineId, std::map<TaskId, Attempt>> placed;

  [[nodiscard]] const JobRecord* job(const JobId& job_id) const;
  [[nodiscard]] const Versioned<SliceRecord>* slice(const JobId& job_id,
                                                    std::uint32_t number) const;
  [[nodiscard]] const TaskRecord* task(const TaskId& id) const;
  [[nodiscard]] const MachineType* type(const std::string& name) const;
  /// True while the given incarnation of the controller is registered.
  [[nodiscard]] bool alive(const NodeId& node, ProcessIncarnation incarnation) const;
  /// True when this version can't read one of the job's slices, so that the job's tasks are known
  /// only in part.
  [[nodiscard]] bool has_unreadable_slice(const JobId& job_id) const;
};

/// Calls `visit` with each slice of the job (`const Versioned<SliceRecord>&`), in ascending order.
template <typename Visit>
void for_each_slice(const Records& records, const JobId& job_id, const Visit& visit) {
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    visit(it->second);
  }
}

}  // namespace marblevale
