// Leader election among the controllers, and this controller's registration as a live controller.
// Both are records in the state service that are deleted when this controller's session lease
// expires.
#pragma once

#include <random>

#include "config/settings.hpp"
#include "election/lease_keeper.hpp"
#include "net/rate_limit.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class Election {
 public:
  /// `joining`: waits for its leases or the first load of the records; `candidate`: its commit of
  /// the leader record is in flight.
  enum class State { joining, follower, candidate, leader };

  Election(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
           WatchCache& cache, ProcessIncarnation incarnation);

  void begin();
  [[nodiscard]] State state() const { return state_; }
  /// The term: the revision of the leader record that names this controller. 0 unless leader.
  [[nodiscard]] ModRevision term() const { return term_; }
  /// True when this controller leads and every commit of earlier leaders is in the cache.
  [[nodiscard]] bool is_established_leader() const;
  /// True for an established leader whose copy of the records is younger than the TTL of the
  /// session lease. After a pause of its process a leader still has the earlier records and term,
  /// although its session may have expired. It therefore plans, provisions machines, moves shards
  /// and decides on deletions only after it has read the records again. Logs the first refusal of
  /// each pause.
  [[nodiscard]] bool leads_with_fresh_records();
  [[nodiscard]] ProcessIncarnation incarnation() const { return incarnation_; }
  /// The lease that the records of this controller's shards are attached to.
  [[nodiscard]] LeaseId shard_lease_id() const { return shard_lease_.id(); }

  /// Adds a guard on the leader's term, so that the transaction fails in any other term.
  void guard(Transaction& txn) const;

 private:
  enum class TransitionReason {
    session_expired,
    leader_record_is_own,
    another_leads,
    nobody_leads,
    leadership_vacant,
    not_elected
  };
  [[nodiscard]] static const char* name_of(State state);
  [[nodiscard]] static const char* name_of(TransitionReason reason);

  void transition(State next, TransitionReason reason);
  /// Compares this controller's state with the records: registers it as a live controller,
  /// campaigns for leadership, or follows the leader.
  void check_leadership();
  void register_node();
  void campaign(ModRevision predecessor);
  /// True when this controller should let the others campaign first.
  [[nodiscard]] bool defers_candidacy() const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  ProcessIncarnation incarnation_;
  std::mt19937_64 random_;
  State state_ = State::joining;
  ModRevision term_;
  bool registration_in_flight_ = false;
  bool stale_logged_ = false;   // the current pause has been logged
  bool deferral_over_ = false;  // the deferral has ended; reset when there is a leader
  Backoff backoff_;
  LeaseKeeper session_lease_;
  LeaseKeeper shard_lease_;
  Timer leadership_timer_;
  Timer deferral_timer_;
};

}  // namespace marblevale
