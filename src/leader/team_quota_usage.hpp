/// The usage of each team's quota (its limit in the settings).
///
/// Usage is counted from the records and the open releases, never from the planner's profile or
/// from expected ends. `Releaser::within_team_quota` checks it before each release, so a wrong
/// profile can't make a release exceed the quota. Only changed slices are counted again.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "leader/open_releases.hpp"

namespace marblevale {

/// Usage by team and by slice, counted from the records and the open releases.
class TeamQuotaUsage {
 public:
  /// Marks a slice that has changed in the records or among the open releases.
  void mark_dirty(const SliceKey& key) { dirty_.insert(key); }
  /// Makes the next `sync` count all slices again.
  void reset() { all_dirty_ = true; }
  /// Counts the dirty slices.
  void sync(const Records& records, const OpenReleases& open);

  /// The resources of the team's placed tasks. When this version can't read a slice, all tasks of
  /// the slice count as placed.
  [[nodiscard]] Resources used_by(const TeamId& team) const;
  /// True when a job that this version can't read has placed tasks. Any team may be the one that
  /// uses their resources.
  [[nodiscard]] bool incomplete() const { return !slices_of_unreadable_jobs_.empty(); }
  /// The slice's share of its team's usage.
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
