#include "records/record_set.hpp"

namespace marblevale {

const JobRecord* Records::job(const JobId& job_id) const {
  const auto it = jobs.find(job_id);
  return it == jobs.end() ? nullptr : &it->second.record;
}

const Versioned<SliceRecord>* Records::slice(const JobId& job_id, std::uint32_t number) const {
  const auto it = slices.find({job_id, number});
  return it == slices.end() ? nullptr : &it->second;
}

const TaskRecord* Records::task(const TaskId& id) const {
  const auto* stored = slice(id.job_id, id.task_index / kSliceTasks);
  const std::size_t index = id.task_index % kSliceTasks;
  return stored == nullptr || index >= stored->record.tasks.size() ? nullptr
                                                                   : &stored->record.tasks[index];
}

const MachineType* Records::type(const std::string& name) const {
  if (!types) return nullptr;
  for (const auto& type : types->record) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

bool Records::alive(const NodeId& node, ProcessIncarnation incarnation) const {
  const auto it = nodes.find(node);
  return it != nodes.end() && it->second.record.incarnation == incarnation;
}

bool Records::has_unreadable_slice(const JobId& job_id) const {
  if (unreadable.empty()) return false;
  const std::string prefix = keys::slices_of(job_id);
  const auto first = unreadable.lower_bound(prefix);
  return first != unreadable.end() && first->compare(0, prefix.size(), prefix) == 0;
}

}  // namespace marblevale
