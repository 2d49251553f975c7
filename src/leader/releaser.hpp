/// Releases tasks to the places that the planner chose, and stops tasks.
///
/// A start becomes a release in one of two ways. A release of one slice on machines of one shard is
/// offered to the shard's holder, which binds it in a single commit. The leader commits any other
/// release to the state service itself, and the holders bind it afterwards. `OpenReleases` tracks
/// each change until its outcome is known and reports when a change without an answer must be sent
/// again.
///
/// The team's quota is enforced here, immediately before a release (`within_team_quota`). Usage is
/// counted from the records and the open changes, not from the planner's profile.
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

/// Callbacks of the releaser to its owner.
struct ReleaserEvents {
  /// Called when a release or stop got an answer. The next round may use it.
  std::function<void()> change_answered;
  /// Called when a start would have exceeded its team's quota by the records. The planner's profile
  /// is wrong in this case.
  std::function<void()> quota_exceeded;
};

/// Commits or offers the changes of one term. Each slice has at most one open change.
class Releaser {
 public:
  Releaser(Metrics& metrics, const Clock& clock, const Settings& settings, WatchCache& cache,
           Election& election, ReleaserEvents events);

  /// Offers releases to shard holders through this channel, which must outlive the releaser.
  /// Without a channel the leader commits all releases itself.
  void offer_through(OfferChannel& channel) { channel_ = &channel; }

  /// Discards the open changes of earlier terms, which fail by their guard.
  void begin_term();
  /// Marks a slice that has changed in the records, so that its usage is counted again.
  void mark_dirty(const SliceKey& key) { usage_.mark_dirty(key); }
  /// Settles the changes that the records decide, and sends those again that have been without an
  /// answer for too long.
  void settle_and_retry_due();
  /// Discards the state kept for jobs that are no longer in the queue.
  void retain_only(const std::unordered_set<JobId>& queued_jobs);

  /// Releases the starts by priority, as far as the write budget allows. A later round plans the
  /// remaining starts again.
  void release_all(const std::vector<JobStart>& starts, const Planner& planner);
  /// Sets the stop order on the slice's tasks at these indices, except tasks that are not placed or
  /// are already being stopped. Returns true when this stops any task. Does nothing while the slice
  /// has an open change.
  bool stop_tasks(const SliceKey& key, const std::set<std::size_t>& indices,
                  const StopOrder& order);

  /// True when the write budget is low, or when many offers wait for a binding, which indicates
  /// that the holders' write budget is low.
  [[nodiscard]] bool short_of_writes() const;
  /// The changes whose outcome is still open.
  [[nodiscard]] const OpenReleases& open_releases() const { return open_; }
  /// The teams' current quota usage, updated before it is returned.
  const TeamQuotaUsage& usage();

 private:
  /// The slice as its open change would leave it, or as recorded when it has none. nullptr when
  /// there is neither.
  [[nodiscard]] const SliceRecord* current_slice(const JobId& job_id, std::uint32_t number) const;
  /// False while the write budget is low for a small part of an array's tasks, which costs fewer
  /// writes when released with other tasks later.
  bool worth_releasing(const JobStart& start);
  /// The part of an array's start in the zone that has most of its tasks. Other starts are returned
  /// whole.
  [[nodiscard]] JobStart restrict_to_largest_zone(const JobStart& start,
                                                  const Planner& planner) const;
  /// The array's start in parts of one slice each.
  [[nodiscard]] static std::vector<JobStart> split_by_slice(const JobStart& start);
  /// The live controller that holds the shards of all the start's machines. Nothing when there is
  /// no single such controller or no offer channel.
  [[nodiscard]] std::optional<NodeId> common_holder(const JobStart& start,
                                                    const Planner& planner) const;
  /// Enforces the team's quota. Returns false when these tasks would exceed it together with the
  /// team's other tasks, counted from the records and the open releases, or when that usage is not
  /// fully known.
  [[nodiscard]] bool within_team_quota(const JobSpec& job, std::size_t tasks);
  void report_quota_exceeded(const JobSpec& job, const Resources& used, bool usage_known);
  /// The highest attempt number of the job's tasks, including open releases.
  [[nodiscard]] Attempt highest_attempt(const JobSpec& job) const;
  [[nodiscard]] SliceRecord copy_or_create_slice(const JobSpec& job, std::uint32_t number) const;
  /// The slices of the start's tasks, with these tasks released, by number.
  [[nodiscard]] std::vector<SliceRecord> make_released_slices(const JobSpec& job,
                                                              const JobStart& start,
                                                              const Planner& planner) const;
  [[nodiscard]] SliceChangeRequest make_request(const JobSpec& job, ModRevision job_revision,
                                                const JobStart& start,
                                                const Planner& planner) const;
  void release_unless_holder_is_busy(const JobStart& start, const Planner& planner);
  /// `holder`: the one controller that holds the shards of all the start's machines, if there is.
  void release(const JobStart& start, const Planner& planner, const std::optional<NodeId>& holder);
  void offer(const NodeId& holder, SliceChangeRequest request, const JobStart& start);
  void commit(SliceChangeRequest request);
  /// Sends the waiting changes, as far as the number of unanswered steps allows.
  void send_waiting();
  /// Sends the next steps of a waiting change.
  void send_steps(ReleaseId id);
  void send(ReleaseId id, Transaction txn);
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
  std::unordered_map<JobId, SteadyTime> last_release_;  // by array job in the queue
  SteadyTime last_quota_log_ = kLongAgo;
};

}  // namespace marblevale
