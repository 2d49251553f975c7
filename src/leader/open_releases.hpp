// The leader's changes of slices whose outcome is open: releases and stops that were sent to the
// state service, and releases that were offered to the holder of a shard.
//
// Whatever may still be applied counts in full against room and team limits. A change is settled by
// nothing but its own definite answer, by a guarded revision that has moved on in the records, or
// by the end of the term that guards it. A refusal says something only of the request that it
// answers: an earlier copy of the same transaction that went without an answer may still be
// applied.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "scheduling/occupancy.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// One change of slices that the leader decided. It is never used again, not by another term
/// either.
using ReleaseId = StrongType<struct ReleaseIdTag, std::uint64_t>;

/// Why a change is no longer open.
enum class SettledBy {
  slice_revision,  // the records show another revision of a slice than the change is guarded by
  job_revision,    // the same of its job
  answer,          // committed, or a guard failed, and the records have caught up with that answer
  never_executed,  // every request that carried it was refused
};

const char* name_of(SettledBy reason);

/// What is to be changed.
struct SliceChangeRequest {
  enum class Kind { release, stop };
  Kind kind = Kind::release;
  Transaction txn;                  // guarded by the leader's term and by each slice's revision
  std::vector<SliceRecord> slices;  // as the transaction leaves them
  /// One of several steps: tasks of the other steps wait for these, so a refusal doesn't end it.
  bool is_step = false;
};

/// The request in steps that each fit one transaction, with the same guards of term and job. Each
/// step is safe alone: the tasks of a gang wait for one another, and end when some never come.
std::vector<SliceChangeRequest> split_request(const SliceChangeRequest& request,
                                              std::size_t max_operations);

class OpenReleases {
 public:
  enum class State {
    offered,   // a holder may bind it; no commit is on its way
    sent,      // a commit is on its way
    unknown,   // a commit or an offer may still be applied; the commit is due again
    answered,  // decided; the records have yet to show how
    refused,   // nothing of it will be applied; its slices rest for a while
  };

  /// Begins the term. What an earlier one left open fails by its guard; under the term that it has
  /// begun already everything stays open.
  void begin_term(ModRevision term);

  /// Adds a change that is about to be committed. Its slices must have none that is open.
  ReleaseId add(const SliceChangeRequest& request, const Records& records);
  /// Adds a release that is about to be offered to the holder.
  ReleaseId add_offer(const SliceChangeRequest& request, const Records& records,
                      const NodeId& holder, SteadyTime now);

  /// The commit is about to be sent; what is to be sent. Its slices are written anew each time: the
  /// state service may take less than when the change was decided, and would refuse it for ever.
  Transaction mark_sent(ReleaseId id, const RecordSize& size);
  /// The answer to a commit of this change; of one that is settled it says nothing new.
  void on_commit_answer(ReleaseId id, const CommitResult& result, SteadyTime now);
  /// The holder declined this offer, and remembers that: no copy of it will be bound.
  void on_offer_declined(ReleaseId id, SteadyTime now);

  /// Settles what the records decide. The slices of what was settled are returned.
  std::vector<SliceKey> settle(const WatchCache& cache, SteadyTime now);
  /// Those whose commit is to be sent now: repeats, and offers that were not bound in time.
  [[nodiscard]] std::vector<ReleaseId> due(SteadyTime now) const;

  [[nodiscard]] bool contains(const SliceKey& key) const { return by_slice_.contains(key); }
  /// The slice as an open change would leave it; nothing when none is open.
  [[nodiscard]] const SliceRecord* slice(const SliceKey& key) const;
  /// All slices that open changes would leave.
  [[nodiscard]] Occupancy::Slices slices() const;
  /// The state of the slice's open change.
  [[nodiscard]] std::optional<State> state(const SliceKey& key) const;
  [[nodiscard]] State state(ReleaseId id) const { return open_.at(id).state; }
  [[nodiscard]] const JobId& job_of(ReleaseId id) const {
    return open_.at(id).slices.front().key.job_id;
  }
  /// Slices whose changes have had no definite answer for at least `least`.
  [[nodiscard]] std::vector<SliceKey> unsettled_for(Duration least, SteadyTime now) const;

  [[nodiscard]] std::size_t size() const { return open_.size(); }
  /// Offers that wait for a binding or for the leader's own commit.
  [[nodiscard]] std::size_t offers() const;
  /// Of these, the ones that the holder has had for less than the time in which it should bind
  /// them.
  [[nodiscard]] std::size_t offers_to(const NodeId& holder) const;

 private:
  struct GuardedSlice {
    SliceKey key;
    ModRevision guard;  // 0: the slice does not exist
    SliceRecord after;
  };
  struct Release {
    SliceChangeRequest::Kind kind = SliceChangeRequest::Kind::release;
    State state = State::sent;
    Transaction txn;
    std::vector<GuardedSlice> slices;
    std::optional<ModRevision> job_guard;
    NodeId holder;                      // to whom it was offered
    bool offer_open = false;            // the holder may still bind it
    bool commit_open = false;           // a commit went without an answer
    bool is_step = false;               // is sent again after a refusal
    std::optional<SteadyTime> since;    // when it was first known to be open
    SteadyTime next_at;                 // when the state is left without any answer
    std::optional<Revision> answer_at;  // what the records must have to show the answer
    std::uint32_t repeats = 0;
    std::uint32_t refusals = 0;  // since the last answer of another kind
  };

  /// The only place where a state changes.
  void transition(ReleaseId id, Release& release, State next, const char* why);
  void refuse(ReleaseId id, Release& release, const char* why, SteadyTime now);
  [[nodiscard]] static std::optional<SettledBy> settled_by(const Release& release,
                                                           const WatchCache& cache, SteadyTime now);
  ReleaseId insert(Release release);
  [[nodiscard]] static Release make(const SliceChangeRequest& request, const Records& records);

  ModRevision term_;
  std::uint64_t last_id_ = 0;
  std::map<ReleaseId, Release> open_;
  std::map<SliceKey, ReleaseId> by_slice_;
};

}  // namespace marblevale
