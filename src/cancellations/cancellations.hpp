/// Tracks which jobs are cancelled, as far as a controller can know without the state service.
///
/// A user gets the confirmation of a cancellation only after its commit, but a holder that cannot
/// reach the state service cannot see the commit. Controllers therefore exchange the cancellations
/// that they know, in each heartbeat and at once after a confirmation. The lists can be merged in
/// any order, because a cancellation is never revoked.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "store/watch_cache.hpp"

namespace marblevale {

/// The cancellations that one controller knows: those in its records, whose tasks may still run,
/// and those that it has confirmed or received from peers but may not have in its records yet.
///
/// Serialized by position: neither the order nor the types of the members may change.
struct CancellationList {
  struct Item {
    std::string job_id;
    /// Unix time of the request for the commit, which is earlier than any confirmation.
    std::int64_t cancelled_at_ms = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(job_id, cancelled_at_ms);
    }
  };
  /// Unix time at which this process started. A complete list has every cancellation that the
  /// process has confirmed, unless the job has ended.
  std::int64_t started_ms = 0;
  /// Unix time up to which the records are fresh. A complete list has every cancellation that any
  /// controller committed earlier, unless the job has ended.
  std::int64_t fresh_until_ms = 0;
  /// False when the list was truncated, a cancellation was not stored, or the records are not
  /// loaded.
  bool complete = false;
  std::vector<Item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(started_ms, fresh_until_ms, complete, items);
  }
};

/// The cancellations known to this controller: from the records, from its own confirmations and
/// from the peers' lists.
class Cancellations {
 public:
  static constexpr std::size_t kMaxListed = 800;  // of about 18 bytes each, in messages of 32 KiB
  static constexpr std::size_t kMaxUnrecorded = 4000;

  Cancellations(const Clock& clock, WatchCache& cache);

  /// Adds a cancellation that is about to be confirmed. Must be called before the confirmation is
  /// sent to any user, because a peer may request the list in between.
  void add_confirmed(const JobId& job_id, WallTime cancelled_at);
  /// Adds the cancellations that a peer lists.
  void merge_peer_list(const CancellationList& list);

  /// When the job was cancelled, which is never later than its first confirmation; no value if no
  /// cancellation is known.
  [[nodiscard]] std::optional<WallTime> cancelled_at(const JobId& job_id) const;
  /// This controller's list, for its peers.
  [[nodiscard]] CancellationList list();
  /// False while a cancellation may be missing because `kMaxUnrecorded` was exceeded.
  [[nodiscard]] bool is_complete();

  /// Sets the listener for the first confirmation of each cancellation by this controller.
  void on_confirmed(std::function<void()> listener) { confirmed_listener_ = std::move(listener); }
  /// Sets the listener for each cancellation that this controller learns from a peer's list.
  void on_peer_cancellation(std::function<void(const JobId&)> listener) {
    peer_cancellation_listener_ = std::move(listener);
  }

 private:
  /// A cancellation that the records may not contain yet.
  struct Unrecorded {
    WallTime cancelled_at;
    SteadyTime added_at;  // fresher records have the cancellation, or its job has ended
  };
  /// Returns whether the cancellation was unknown and has been stored.
  bool add_unrecorded(const JobId& job_id, WallTime cancelled_at);
  /// Removes the cancellations that the records contain by now, or whose jobs have ended.
  void prune_unrecorded();

  const Clock& clock_;
  WatchCache& cache_;
  WallTime started_at_;
  std::set<JobId> recorded_;           // cancelled, unfinished jobs in the records
  std::set<JobId> locally_confirmed_;  // the part of `recorded_` that was confirmed here
  std::unordered_map<JobId, Unrecorded> unrecorded_;
  std::optional<SteadyTime> capacity_exceeded_at_;
  std::function<void()> confirmed_listener_;
  std::function<void(const JobId&)> peer_cancellation_listener_;
};

/// A peer's list, and the time at which the request for it was sent.
struct PeerCancellationList {
  SteadyTime requested_at;
  WallTime requested_at_wall;
  CancellationList list;
};

/// Computes the time up to which this controller knows every confirmed cancellation, by attestation
/// of all peers, although the state service may be unreachable.
///
/// This controller knows every cancellation confirmed before `all_known_until_`, from its own
/// records or from the list of a peer with fresher records. If every peer started before
/// `all_known_until_`, later cancellations can only have been confirmed by the current incarnations
/// of the peers or by this controller, and each incarnation lists all that it has confirmed.
/// Complete lists of all peers together therefore contain every cancellation up to the time at
/// which the earliest request was sent.
class CancellationFreshness {
 public:
  explicit CancellationFreshness(Duration clock_error) : clock_error_(clock_error) {}
  /// `peer_lists`: one entry for each peer, empty for a peer without a recent reply.
  /// `records_fresh_until`: time of day up to which this controller's own records are fresh.
  /// Returns no value when the peers' lists are not sufficient.
  std::optional<SteadyTime> fresh_until(
      SteadyTime now, WallTime now_wall, WallTime records_fresh_until,
      const std::vector<std::optional<PeerCancellationList>>& peer_lists);

 private:
  Duration clock_error_{};  // maximum error of each controller's clock
  WallTime all_known_until_;
};

}  // namespace marblevale
