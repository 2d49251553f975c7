#include "leader/team_quota_usage.hpp"

#include <algorithm>
#include <utility>

namespace marblevale {

namespace {

bool placed_in(const SliceRecord* slice, std::size_t index) {
  return slice != nullptr && index < slice->tasks.size() && slice->tasks[index].placed();
}

/// Counts the tasks that are placed in the stored slice or in its open change, because the state
/// service may have either version.
std::size_t count_placed(const SliceRecord* stored, const SliceRecord* open) {
  const std::size_t size = std::max(stored == nullptr ? 0 : stored->tasks.size(),
                                    open == nullptr ? 0 : open->tasks.size());
  std::size_t count = 0;
  for (std::size_t i = 0; i < size; ++i) {
    if (placed_in(stored, i) || placed_in(open, i)) ++count;
  }
  return count;
}

}  // namespace

void TeamQuotaUsage::sync(const Records& records, const OpenReleases& open) {
  if (std::exchange(all_dirty_, false)) {
    by_slice_.clear();
    by_team_.clear();
    slices_of_unreadable_jobs_.clear();
    for (const auto& [key, slice] : records.slices) dirty_.insert(key);
    for (const auto& [key, pending] : open.slices()) dirty_.insert(key);
  }
  for (const SliceKey& key : dirty_) count_slice(key, records, open);
  dirty_.clear();
}

void TeamQuotaUsage::count_slice(const SliceKey& key, const Records& records,
                                 const OpenReleases& open) {
  if (const auto old = by_slice_.find(key); old != by_slice_.end()) {
    Resources& team = by_team_[old->second.team];
    team = team - old->second.resources;
    by_slice_.erase(old);
  }
  slices_of_unreadable_jobs_.erase(key);
  const auto* stored = records.slice(key.job_id, key.number);
  const JobRecord* job = records.job(key.job_id);
  std::size_t placed = count_placed(stored == nullptr ? nullptr : &stored->record, open.slice(key));
  if (job == nullptr) {
    // The slices of an ended job remain for a while, but its tasks are proven to have ended.
    if (placed > 0 && records.unreadable.contains(keys::job(key.job_id))) {
      slices_of_unreadable_jobs_.insert(key);
    }
    return;
  }
  if (records.unreadable.contains(keys::slice(key.job_id, key.number))) {
    placed = slice_size(job->spec, key.number);
  }
  if (placed == 0) return;
  const Resources resources = job->spec.need * static_cast<double>(placed);
  by_slice_[key] = {job->spec.team, resources};
  by_team_[job->spec.team] += resources;
}

Resources TeamQuotaUsage::used_by(const TeamId& team) const {
  const auto it = by_team_.find(team);
  return it == by_team_.end() ? Resources{} : it->second;
}

Resources TeamQuotaUsage::used_by(const SliceKey& key) const {
  const auto it = by_slice_.find(key);
  return it == by_slice_.end() ? Resources{} : it->second.resources;
}

}  // namespace marblevale
