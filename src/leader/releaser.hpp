// Turns the planner's starts into releases: offers to the holder of a shard, or commits of slices.
// It also commits the stops of tasks, and sends again what went without an answer. What is open
// stands in `OpenReleases`; what the teams have in use is checked before each release.
#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "election/election.hpp"
#include "leader/open_releases.hpp"
#include "leader/team_usage.hpp"
#include "peers/offers.hpp"
#include "scheduling/planner.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// What the releaser tells its owner.
struct ReleaserEvents {
  /// A release or stop has got an answer: the next round may use it.
  std::function<void()> answered;
  /// A start would have taken a team over its limit by the records: the profile is wrong.
  std::function<void()> limit_exceeded;
};

class Releaser {
 public:
  /// True when the task is to be stopped; it may be edited then.
  using StopDecision = std::function<bool(std::size_t index, TaskRecord&)>;

  Releaser(Metrics& metrics, const Clock& clock, const Settings& settings, WatchCache& cache,
           Election& election, ReleaserEvents events);

  /// Releases go to holders by this as well; without it they are committed first.
  void release_through(OfferChannel& channel) { channel_ = &channel; }

  void begin_term();
  /// A slice has changed in the records.
  void touch(const SliceKey& key) { usage_.touch(key); }
  /// Settles what the records decide, and sends again what is due.
  void pursue();
  /// Forgets what was remembered of jobs that are not among these.
  void keep_only(const std::unordered_set<JobId>& queued);

  /// By priority, as far as writes allow; the rest has its turn in a later round.
  void release_all(const std::vector<Start>& starts, const Planner& planner);
  /// True when tasks are stopped that were not being stopped before.
  bool stop_tasks(const SliceKey& key, const StopDecision& stop);

  /// Writes are scarce, here or where the offers that wait are to be bound.
  [[nodiscard]] bool short_of_writes() const;
  [[nodiscard]] const OpenReleases& open() const { return open_; }
  /// The slice as the open changes would leave it, or as it is recorded.
  [[nodiscard]] const SliceRecord* current(const JobId& job_id, std::uint32_t number) const;
  /// What the teams have in use now.
  const TeamUsage& usage();

 private:
  bool worth_releasing(const Start& start);
  [[nodiscard]] Start of_one_zone(const Start& start, const Planner& planner) const;
  [[nodiscard]] std::vector<Start> by_slice(const Start& start) const;
  [[nodiscard]] std::optional<NodeId> one_holder(const Start& start, const Planner& planner) const;
  [[nodiscard]] bool within_limit(const JobSpec& job, std::size_t tasks);
  [[nodiscard]] Attempt last_attempt(const JobSpec& job) const;
  /// The slice with the tasks of `start` that belong to it released.
  [[nodiscard]] SliceRecord released_slice(const JobSpec& job, std::uint32_t number,
                                           const Start& start, const Planner& planner) const;
  [[nodiscard]] SliceChangeRequest make_request(const JobSpec& job, ModRevision job_revision,
                                                const Start& start, const Planner& planner) const;
  void release(const Start& start, const Planner& planner);
  void offer(const NodeId& holder, const SliceChangeRequest& request, const Start& start);
  void commit(const SliceChangeRequest& request);
  void send(ReleaseId id);
  void touch_slices(const SliceChangeRequest& request);

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  ReleaserEvents events_;
  OfferChannel* channel_ = nullptr;
  OpenReleases open_;
  TeamUsage usage_;
  std::unordered_map<JobId, SteadyTime> last_release_;  // of arrays that still wait
  SteadyTime last_limit_log_ = kLongAgo;
};

}  // namespace marblevale
