/// The leader's slice changes of unknown outcome: releases and stops sent to the state service, and
/// releases offered to a shard holder.
///
/// A change that may still be applied counts in full against the machines' capacity and the team's
/// quota. Three kinds of evidence settle a change: a definite answer to the change itself, a new
/// revision of a guarded record, or the end of the term that guards the change. A refusal applies
/// only to the request that it answers. An earlier copy of the same transaction that got no answer
/// may still be applied.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "scheduling/occupancy.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Identifies one slice change (a release or a stop) within this process. An id is never used
/// again, even in another term, so a late answer can't be attributed to a different change.
using ReleaseId = StrongType<struct ReleaseIdTag, std::uint64_t>;

/// The evidence that settled a change.
enum class SettledBy {
  /// A slice's revision in the records differs from the revision that guards the change.
  slice_revision,
  /// The job's revision in the records differs from the revision that guards the change.
  job_revision,
  /// The commit was answered as done or as a failed guard, and the records have reached the
  /// revision of that answer.
  answer,
  /// Every request that carried the change was refused or declined.
  never_executed,
};

const char* name_of(SettledBy evidence);

/// A slice change that the leader wants to commit.
struct SliceChangeRequest {
  enum class Kind { release, stop };
  Kind kind = Kind::release;
  /// The guards on the term and, for a release, on the job. Each slice is guarded in addition by
  /// its revision in the records.
  std::vector<Guard> guards;
  /// The slices as the change writes them, in the order of their numbers.
  std::vector<SliceRecord> slices;
};

/// What the open changes hold in memory.
struct OpenReleaseCounts {
  std::size_t changes = 0;
  std::size_t slices = 0;
  std::size_t tasks = 0;
  /// Steps of changes that exceed one transaction, which were sent and are not answered.
  std::size_t unanswered_steps = 0;
};

/// The open changes of one term and their states. This class sends nothing itself: `Releaser` sends
/// the changes that are due and reports the answers.
///
/// A change that exceeds one transaction is committed in steps. A step is encoded only when it is
/// sent, so that the memory of a change with 100,000 tasks is that of its decoded slices.
/// Committing only some of the steps is safe, because the tasks of a gang wait for each other and
/// end when some of them never start.
class OpenReleases {
 public:
  enum class State {
    /// No request has carried it yet.
    waiting,
    /// The holder may bind it. No commit is in flight.
    offered,
    /// A commit is in flight.
    sent,
    /// A commit or an offer may still be applied. The commit is due to be sent again.
    unknown,
    /// The outcome is decided, but the records do not show it yet.
    answered,
    /// The change will never be applied. Its slices stay blocked for a short backoff.
    refused,
  };

  /// Begins the term and discards the open changes of earlier terms, which fail by their guard. A
  /// call with the current term changes nothing.
  void begin_term(ModRevision term);

  /// Adds a change that waits to be sent. None of its slices may have an open change.
  ReleaseId add(SliceChangeRequest request, const Records& records);
  /// Adds a release that is about to be offered to the holder. None of its slices may have an open
  /// change.
  ReleaseId add_offer(SliceChangeRequest request, const Records& records, const NodeId& holder,
                      SteadyTime now);

  /// The changes that wait to be sent, the oldest first.
  [[nodiscard]] std::vector<ReleaseId> waiting() const;
  /// A part of a change, and the transaction to send for it.
  struct Step {
    ReleaseId id;
    Transaction txn;
  };
  /// Splits the first slices that fit one transaction off a waiting change, and marks them as sent.
  /// Each step keeps the guards on the term and the job. Returns nothing while too many steps have
  /// no answer. A change that fits one transaction never waits for others.
  std::optional<Step> send_next_step(ReleaseId id, const RecordSize& size,
                                     std::size_t max_operations);
  /// Marks the change as sent and returns the transaction to send. The slices are encoded anew for
  /// each attempt, because the state service may have lowered its limit on value sizes and would
  /// otherwise refuse every retry.
  Transaction mark_sent(ReleaseId id, const RecordSize& size);
  /// Handles the answer to a commit of this change. Ignored when the change is already settled.
  void on_commit_answer(ReleaseId id, const CommitResult& result, SteadyTime now);
  /// Handles a declined offer. The holder remembers the decline, so it binds no copy of this offer.
  void on_offer_declined(ReleaseId id, SteadyTime now);

  /// Settles the changes whose outcome the records decide. Returns the slices of the settled
  /// changes.
  std::vector<SliceKey> settle(const WatchCache& cache, SteadyTime now);
  /// Changes whose commit must be sent now: retries, and offers that were not bound in time.
  [[nodiscard]] std::vector<ReleaseId> retry_due(SteadyTime now) const;

  [[nodiscard]] bool contains(const SliceKey& key) const { return by_slice_.contains(key); }
  /// The slice as its open change would leave it, or nullptr when it has no open change.
  [[nodiscard]] const SliceRecord* slice(const SliceKey& key) const;
  /// The slices of all open changes, as those changes would leave them.
  [[nodiscard]] PendingSlices slices() const;
  /// The state of the slice's open change, or nothing when it has none.
  [[nodiscard]] std::optional<State> state(const SliceKey& key) const;
  [[nodiscard]] State state(ReleaseId id) const { return open_.at(id).state; }
  [[nodiscard]] const JobId& job_id_of(ReleaseId id) const {
    return open_.at(id).slices.front().job_id;
  }
  /// Slices whose open change has had an unknown outcome for at least `min_time`.
  [[nodiscard]] std::vector<SliceKey> unsettled_for(Duration min_time, SteadyTime now) const;

  [[nodiscard]] std::size_t size() const { return open_.size(); }
  [[nodiscard]] OpenReleaseCounts counts() const;
  /// Number of offers that wait for the holder's binding or for the leader's own commit.
  [[nodiscard]] std::size_t open_offers() const;
  /// Number of offers that this holder still has time to bind.
  [[nodiscard]] std::size_t open_offers_to(const NodeId& holder) const;

 private:
  /// A slice with an open change. It is held only here until the records show the change.
  struct OpenSlice {
    ReleaseId release;
    std::uint64_t change = 0;  // the change that was added; its steps keep it
    ModRevision guard;
    SliceRecord after;
  };
  struct Release {
    SliceChangeRequest::Kind kind = SliceChangeRequest::Kind::release;
    State state = State::waiting;
    /// Without the guards on the slices.
    std::vector<Guard> guards;
    std::vector<SliceKey> slices;
    std::optional<ModRevision> job_guard;
    /// The shard holder that the release was offered to. Empty when it was not offered.
    NodeId holder;
    /// True while the holder may still bind the offer.
    bool offer_open = false;
    /// True when a commit got no answer and may still be applied.
    bool commit_open = false;
    /// One of several steps of a change. A refused step stays open and is sent again, because the
    /// tasks of the other steps wait for its tasks.
    bool is_step = false;
    /// When the change was offered, or else when its commit first got no answer.
    std::optional<SteadyTime> unknown_since;
    /// When the state `offered` or `unknown` makes a commit due, and when the state `refused`
    /// settles the change.
    SteadyTime deadline;
    /// The revision that the records must reach to show the answer.
    std::optional<Revision> answer_revision;
    std::uint32_t retries = 0;
    /// Consecutive refusals, which determine the backoff. Reset when a commit gets no answer.
    std::uint32_t refusals = 0;
  };
  /// The event that causes a state change.
  enum class Trigger {
    sent,
    retried,
    committed,
    guard_failed,
    no_answer,
    commit_refused,
    offer_declined,
  };

  static const char* trigger_name(Trigger trigger);
  /// Changes a state. No other function does.
  static void transition(ReleaseId id, Release& release, State next, Trigger trigger);
  static void refuse(ReleaseId id, Release& release, Trigger trigger, SteadyTime now);
  [[nodiscard]] std::optional<SettledBy> settled_by(const Release& release, const WatchCache& cache,
                                                    SteadyTime now) const;
  static void log_settled(ReleaseId id, const Release& release, SettledBy evidence);
  ReleaseId next_id() { return ReleaseId(++last_id_); }
  ReleaseId insert(Release release, std::vector<SliceRecord> slices, const Records& records);
  [[nodiscard]] std::size_t unanswered_steps() const;
  /// Adds the slice's guard and its new value to the transaction.
  void add_slice(Transaction& txn, const SliceKey& key, std::string value) const;
  /// Moves the first slices of a waiting change to a new change.
  ReleaseId split_off(Release& release, std::size_t slices);

  ModRevision term_;
  std::uint64_t last_id_ = 0;
  std::map<ReleaseId, Release> open_;
  std::map<SliceKey, OpenSlice> by_slice_;
};

}  // namespace marblevale
