/// Releases: the leader's grants of places to tasks, and the stops of tasks.
///
/// A start that the planner found becomes a release in one of two ways. A release of one slice on
/// machines of one shard is offered to the shard's holder, which binds it in a single commit. Any
/// other is committed to the state service by the leader, and bound by the holders afterwards.
/// `OpenReleases` keeps each change until its outcome is known, and has it sent again when it went
/// without an answer.
///
/// The team's quota is enforced here, right before a release (`within_team_quota`), against what is
/// recorded and open rather than against the planner's profile.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/open_releases.hpp"
#include "leader/team_quota_usage.hpp"
#include "peers/offers.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// What the releaser reports to its owner.
struct ReleaserEvents {
  /// A release or stop has got an answer: the next round may use it.
  std::function<void()> change_answered;
  /// A start would have taken its team over its quota by the records: the profile is wrong.
  std::function<void()> quota_exceeded;
};

/// Commits or offers the changes of one term; keeps at most one open change for each slice.
class Releaser {
 public:
  Releaser(Metrics& metrics, const Clock& clock, const Settings& settings, WatchCache& cache,
           Election& election, ReleaserEvents events);

  /// Has releases offered to shard holders by this channel; without it they are committed here.
  void offer_through(OfferChannel& channel) { channel_ = &channel; }

  /// Drops the open changes of earlier terms, which fail by their guard.
  void begin_term();
  /// A slice has changed in the records.
  void mark_dirty(const SliceKey& key) { usage_.mark_dirty(key); }
  /// Settles what the records decide, and sends again what has been without an answer for too long.
  void settle_and_retry_due();
  /// Forgets what is remembered of jobs that wait no longer.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);

  /// Releases by priority, as far as the budget for writes allows; a later round plans the rest
  /// again.
  void release_all(const std::vector<Start>& starts, const Planner& planner);
  /// Gives the order to the slice's tasks at these indices, apart from those that run nowhere or
  /// are being stopped already. True when that stops any. Does nothing while a change of the slice
  /// is open.
  bool stop_tasks(const SliceKey& key, const std::set<std::size_t>& indices,
                  const StopOrder& order);

  /// The budget for writes is short, here or at the holders that are to bind the open offers.
  [[nodiscard]] bool short_of_writes() const;
  /// The changes whose outcome is open.
  [[nodiscard]] const OpenReleases& open_releases() const { return open_; }
  /// The slice as the open changes would leave it, or else as it is recorded.
  [[nodiscard]] const SliceRecord* current_slice(const JobId& job_id, std::uint32_t number) const;
  /// What the teams use of their quotas now.
  const TeamQuotaUsage& usage();

 private:
  /// False for a small part of an array, which is better released together with others later.
  bool worth_releasing(const Start& start);
  /// The part of an array's start that lies in the zone with most of its tasks.
  [[nodiscard]] Start restrict_to_largest_zone(const Start& start, const Planner& planner) const;
  [[nodiscard]] std::vector<Start> split_by_slice(const Start& start) const;
  /// The controller that holds the shards of all the start's machines, if one alone does.
  [[nodiscard]] std::optional<NodeId> common_holder(const Start& start,
                                                    const Planner& planner) const;
  /// Enforces the team's limit (its quota): false when the tasks, together with all that its other
  /// tasks use by the records and the open releases, would exceed it.
  [[nodiscard]] bool within_team_quota(const JobSpec& job, std::size_t tasks);
  void report_quota_exceeded(const JobSpec& job, const Resources& used, bool usage_known);
  /// The highest attempt of the job's tasks.
  [[nodiscard]] Attempt highest_attempt(const JobSpec& job) const;
  /// The slice, with those tasks of the start that belong to it released.
  [[nodiscard]] SliceRecord make_released_slice(const JobSpec& job, std::uint32_t number,
                                                const Start& start, const Planner& planner) const;
  [[nodiscard]] SliceChangeRequest make_request(const JobSpec& job, ModRevision job_revision,
                                                const Start& start, const Planner& planner) const;
  void release(const Start& start, const Planner& planner);
  void offer(const NodeId& holder, const SliceChangeRequest& request, const Start& start);
  void commit(const SliceChangeRequest& request);
  void send(ReleaseId id);
  void mark_slices_dirty(const SliceChangeRequest& request);

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  ReleaserEvents events_;
  OfferChannel* channel_ = nullptr;
  OpenReleases open_;
  TeamQuotaUsage usage_;
  std::unordered_map<JobId, SteadyTime> last_release_;  // of arrays that still wait
  SteadyTime last_quota_log_ = kLongAgo;
};

}  // namespace marblevale
