// Leader and liveness: this controller's session with the state service, and who leads.
#pragma once

#include <functional>
#include <limits>
#include <random>

#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

class Election {
 public:
  enum class State { joining, follower, candidate, leader };

  Election(Loop& loop, const Clock& clock, const Settings& settings, Store& store,
           WatchCache& cache, ProcessIncarnation incarnation);

  void begin();
  [[nodiscard]] State state() const { return state_; }
  /// The revision of our own leadership; only while leading.
  [[nodiscard]] ModRevision term() const { return term_; }
  /// Leading, and every commit of earlier leaders is in the cache.
  [[nodiscard]] bool is_established_leader() const;
  /// In charge, and the copy of the records is younger than the session's lease. A leader that
  /// stood still has the records and the term of before, though its session may have ended since:
  /// it plans, rents, moves shards and decides on deletions only once it has read the records
  /// again. Logs the first refusal of each pause.
  [[nodiscard]] bool holds_fresh_lease();
  [[nodiscard]] ProcessIncarnation incarnation() const { return incarnation_; }
  [[nodiscard]] LeaseId shard_lease_id() const { return shard_lease_id_; }

  /// Puts the leader's guard on a transaction. One that does not lead has no term, and the revision
  /// of none would pass while nobody leads: its transaction must fail.
  void guard(Transaction& txn) const {
    txn.guard(keys::kLeader, term_ == ModRevision{}
                                 ? ModRevision(std::numeric_limits<std::uint64_t>::max())
                                 : term_);
  }

 private:
  void transition(State next, const char* why);
  void open_session();
  void open_shard_lease();
  void renew_session();
  void renew_shard_lease();
  void check_leadership();
  void announce();
  void campaign(ModRevision over);
  [[nodiscard]] bool needed_at_home() const;

  const Clock& clock_;
  const Settings& settings_;
  Store& store_;
  WatchCache& cache_;
  ProcessIncarnation incarnation_;
  std::mt19937_64 random_;
  State state_ = State::joining;
  ModRevision term_;
  LeaseId session_;
  LeaseId shard_lease_id_;
  bool announcing_ = false;
  bool stale_logged_ = false;  // in this pause
  bool may_campaign_ = false;  // others have had the time to stand first
  Backoff backoff_;
  Timer session_timer_;
  Timer shard_timer_;
  Timer leadership_timer_;
  Timer defer_timer_;
};

}  // namespace marblevale
