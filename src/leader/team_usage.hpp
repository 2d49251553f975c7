// What each team has in use: counted from the records and from the releases whose outcome is open,
// never from the profile or from expected ends. It is the last check before a release, whatever the
// planner made of its profile.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "leader/open_releases.hpp"

namespace marblevale {

class TeamUsage {
 public:
  /// Marks a slice that has changed, in the records or among the open releases.
  void mark_dirty(const SliceKey& key) { dirty_.insert(key); }
  /// Everything is counted anew at the next `sync`.
  void reset() { all_dirty_ = true; }
  /// Counts what was touched.
  void sync(const Records& records, const OpenReleases& open);

  /// All tasks of a slice that this version can't read are taken for placed.
  [[nodiscard]] Resources used_by(const TeamId& team) const;
  /// Tasks are placed of a job that this version can't read: any team may be the one that uses
  /// them.
  [[nodiscard]] bool incomplete() const { return !of_unreadable_jobs_.empty(); }
  /// What the slice adds to its team's use.
  [[nodiscard]] Resources used_by(const SliceKey& key) const;

 private:
  struct SliceUse {
    TeamId team;
    Resources resources;
  };
  void count(const SliceKey& key, const Records& records, const OpenReleases& open);

  bool all_dirty_ = true;
  std::set<SliceKey> dirty_;
  std::map<SliceKey, SliceUse> by_slice_;
  std::map<TeamId, Resources> by_team_;
  std::set<SliceKey> of_unreadable_jobs_;
};

}  // namespace marblevale
