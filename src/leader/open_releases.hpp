/// The leader's changes of slices whose outcome is open: releases and stops that were sent to the
/// state service, and releases that were offered to the holder of a shard.
///
/// Whatever may still be applied counts in full against the machines' room and the team's quota. A
/// change is settled by nothing but its own definite answer, by a guarded revision that has moved
/// on in the records, or by the end of the term that guards it. A refusal says something only of
/// the request that it answers: an earlier copy of the same transaction that went without an answer
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

/// Identifies one change of slices (a release or a stop) within the leader's process. It is never
/// used again, not in another term either, so an answer that comes late belongs to no other change.
using ReleaseId = StrongType<struct ReleaseIdTag, std::uint64_t>;

/// The evidence by which a change is no longer open.
enum class SettledBy {
  /// The records show another revision of a slice than the change is guarded by.
  slice_revision,
  /// The records show another revision of the job than the change is guarded by.
  job_revision,
  /// It was committed, or a guard failed, and the records have caught up with that answer.
  answer,
  /// Every request that carried it was refused.
  never_executed,
};

const char* name_of(SettledBy evidence);

/// A change of slices that the leader wants committed.
struct SliceChangeRequest {
  enum class Kind { release, stop };
  Kind kind = Kind::release;
  /// Guarded by the leader's term and by each slice's revision.
  Transaction txn;
  /// As the transaction leaves them.
  std::vector<SliceRecord> slices;
  /// One of several steps: tasks of the other steps wait for these, so a refusal doesn't end it.
  bool is_step = false;
};

/// Splits the request into steps that each fit one transaction, with the same guards of term and
/// job. Each step is safe alone: the tasks of a gang wait for one another, and end when some never
/// come.
std::vector<SliceChangeRequest> split_request(const SliceChangeRequest& request,
                                              std::size_t max_operations);

/// The open changes of one term, each with its state. It sends nothing itself: `Releaser` sends
/// what is due and passes the answers on.
class OpenReleases {
 public:
  enum class State {
    /// The holder may bind it; no commit is in flight.
    offered,
    /// A commit is in flight.
    sent,
    /// A commit or an offer may still be applied; the commit is due again.
    unknown,
    /// Decided; the records have yet to show how.
    answered,
    /// Nothing of it will be applied; its slices stay blocked for a short time.
    refused,
  };

  /// Begins the term. What an earlier one left open fails by its guard; under the term that it has
  /// begun already everything stays open.
  void begin_term(ModRevision term);

  /// Adds a change that is about to be committed. Its slices must have none that is open.
  ReleaseId add(const SliceChangeRequest& request, const Records& records);
  /// Adds a release that is about to be offered to the holder.
  ReleaseId add_offer(const SliceChangeRequest& request, const Records& records,
                      const NodeId& holder, SteadyTime now);

  /// Notes that the commit is about to be sent, and returns what to send. The slices are encoded
  /// each time: the state service may by now accept only smaller values than when the change was
  /// decided, and would refuse it for ever.
  Transaction mark_sent(ReleaseId id, const RecordSize& size);
  /// The answer to a commit of this change. Ignored when the change is settled already.
  void on_commit_answer(ReleaseId id, const CommitResult& result, SteadyTime now);
  /// The holder declined this offer, and remembers that: no copy of it will be bound.
  void on_offer_declined(ReleaseId id, SteadyTime now);

  /// Settles what the records decide, and returns the slices of the changes that were settled.
  std::vector<SliceKey> settle(const WatchCache& cache, SteadyTime now);
  /// Changes whose commit is to be sent now: retries, and offers that were not bound in time.
  [[nodiscard]] std::vector<ReleaseId> retry_due(SteadyTime now) const;

  [[nodiscard]] bool contains(const SliceKey& key) const { return by_slice_.contains(key); }
  /// The slice as an open change would leave it; nothing when none is open.
  [[nodiscard]] const SliceRecord* slice(const SliceKey& key) const;
  /// All slices that open changes would leave.
  [[nodiscard]] Occupancy::Slices slices() const;
  /// The state of the slice's open change.
  [[nodiscard]] std::optional<State> state(const SliceKey& key) const;
  [[nodiscard]] State state(ReleaseId id) const { return open_.at(id).state; }
  [[nodiscard]] const JobId& job_id_of(ReleaseId id) const {
    return open_.at(id).slices.front().key.job_id;
  }
  /// Slices whose changes have had no definite answer for at least `min_time`.
  [[nodiscard]] std::vector<SliceKey> unsettled_for(Duration min_time, SteadyTime now) const;

  [[nodiscard]] std::size_t size() const { return open_.size(); }
  /// Offers that wait for a binding or for the leader's own commit.
  [[nodiscard]] std::size_t open_offers() const;
  /// Offers to the holder that it still has time to bind.
  [[nodiscard]] std::size_t open_offers_to(const NodeId& holder) const;

 private:
  struct GuardedSlice {
    SliceKey key;
    ModRevision guard;
    SliceRecord after;
  };
  struct Release {
    SliceChangeRequest::Kind kind = SliceChangeRequest::Kind::release;
    State state = State::sent;
    Transaction txn;
    std::vector<GuardedSlice> slices;
    std::optional<ModRevision> job_guard;
    /// The shard's holder, if it was offered.
    NodeId holder;
    /// The holder may still bind it.
    bool offer_open = false;
    /// A commit went without an answer and may still be applied.
    bool commit_open = false;
    bool is_step = false;
    /// When its outcome was first known to be open.
    std::optional<SteadyTime> unknown_since;
    /// When `offered`, `unknown` or `refused` is left without any answer.
    SteadyTime deadline;
    /// What the records must have reached to show the answer.
    std::optional<Revision> answer_revision;
    std::uint32_t retries = 0;
    /// Since the last answer of another kind.
    std::uint32_t refusals = 0;
  };
  /// Why a change's state changes.
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
  /// The only place where a state changes.
  static void transition(ReleaseId id, Release& release, State next, Trigger trigger);
  static void refuse(ReleaseId id, Release& release, Trigger trigger, SteadyTime now);
  [[nodiscard]] static std::optional<SettledBy> settled_by(const Release& release,
                                                           const WatchCache& cache, SteadyTime now);
  static void log_settled(ReleaseId id, const Release& release, SettledBy evidence);
  ReleaseId insert(Release release);
  [[nodiscard]] static Release make_release(const SliceChangeRequest& request,
                                            const Records& records);

  ModRevision term_;
  std::uint64_t last_id_ = 0;
  std::map<ReleaseId, Release> open_;
  std::map<SliceKey, ReleaseId> by_slice_;
};

}  // namespace marblevale
