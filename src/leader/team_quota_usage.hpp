/// What each team uses of its quota (its limit in the settings).
///
/// Counted from the records and the open releases, never from the planner's profile or from
/// expected ends: it is what `Releaser::within_team_quota` checks before each release, whatever the
/// planner made of its profile. Only slices that have changed are counted again.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "leader/open_releases.hpp"

namespace marblevale {

/// Usage by team and by slice, counted from records and open releases.
class TeamQuotaUsage {
 public:
  /// A slice has changed, in the records or among the open releases.
  void mark_dirty(const SliceKey& key) { dirty_.insert(key); }
  /// Has everything counted again at the next `sync`.
  void reset() { all_dirty_ = true; }
  /// Counts the slices that are dirty.
  void sync(const Records& records, const OpenReleases& open);

  /// What the team's placed tasks use. All tasks of a slice that this version can't read count as
  /// placed.
  [[nodiscard]] Resources used_by(const TeamId& team) const;
  /// True when a job that this version can't read has placed tasks: any team may be the one that
  /// uses their resources.
  [[nodiscard]] bool incomplete() const { return !slices_of_unreadable_jobs_.empty(); }
  /// What the slice adds to its team's usage.
  [[nodiscard]] Resources used_by(const SliceKey& key) const;

 private:
  struct SliceUsage {
    TeamId team;
    Resources resources;
  };
  void count_slice(const SliceKey& key, const Records& records, const OpenReleases& open);

  bool all_dirty_ = true;
  std::set<SliceKey> dirty_;
  std::map<SliceKey, SliceUsage> by_slice_;
  std::map<TeamId, Resources> by_team_;
  std::set<SliceKey> slices_of_unreadable_jobs_;
};

}  // namespace marblevale
