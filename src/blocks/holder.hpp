// A block's holder: answers its workers' reports, binds released tasks, sends orders, and commits
// what the reports prove.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

#include "app/settings.hpp"
#include "blocks/order_sender.hpp"
#include "blocks/proof.hpp"
#include "blocks/reachability.hpp"
#include "cancellations/cancellations.hpp"
#include "election/election.hpp"
#include "net/http_server.hpp"
#include "peers/offers.hpp"
#include "planner/profile.hpp"
#include "store/machine_writer.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// The answer to a report: 200 with orders, or 421 with or without the holder's name.
struct ReportAnswer {
  int status = 421;
  std::string body;
};

/// Stops what is left of a gang that lost a task; true when that changed the slice.
bool stop_broken_gang(SliceRecord& slice);

class BlockHolder {
 public:
  BlockHolder(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
              Election& election, OrderSender& orders, Cancellations& cancellations);

  void begin();
  ReportAnswer handle_report(std::string_view body);
  /// Binds what the leader offers, if all of it can be bound here, as soon as this copy has what
  /// the leader's had; false: nothing was committed, and nothing will be.
  bool accept_offer(const ReleaseOffer& offer);

  /// Zones whose workers come here again and again though another controller holds the block.
  [[nodiscard]] std::vector<ZoneId> misdirected_zones();
  /// Zones that are held here while none of their machines is heard: cut off, or not met yet.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// A peer was the first to tell that the job is cancelled.
  void cancelled(const JobId& job_id);
  /// Machines of which it is not known that their cancelled tasks have ended, though it is time to
  /// have them deleted.
  [[nodiscard]] std::vector<MachineId> overdue() const;
  /// The latest moment up to which no cancellation can have been confirmed that we do not know of.
  void extend_freshness(SteadyTime until);

 private:
  enum class Holding { none, settling, held };

  struct Worker {
    explicit Worker(const MachineId& machine_id) : reachability(machine_id) {}

    WorkerView view;
    ZoneId zone;
    /// Its last report, or since when it could have reported here. An answer to an order is none:
    /// a machine that reaches no controller hears orders all the same, while its lease lapses.
    SteadyTime last_report_at{-1'000'000};
    bool direct_busy = false;
    bool refused = false;                     // its lease is left to lapse
    std::map<TaskAttempt, SteadyTime> kills;  // last sent
    std::optional<WallTime> reclaim_at;
    std::vector<std::pair<ImageId, double>> images;  // seen in use, as in the machine's record
    bool images_changed = false;
    WorkerReachability reachability;
  };

  /// An offer that waits for this copy to catch up, or for the state service.
  struct Kept {
    ReleaseOffer offer;
    SteadyTime since;
  };

  void mark_job_dirty(const JobId& job_id);
  void take_blocks();
  void renew_token(const ZoneId& zone);
  [[nodiscard]] Holding holding(const ZoneId& zone) const;
  [[nodiscard]] FencingToken token_of(const ZoneId& zone) const;
  void retry_offers();
  void round();
  void sweep();
  void give_orders();
  void discount_pause(SteadyTime now);
  bool bind_offer(const ReleaseOffer& offer, SteadyTime since);
  bool decide_slice(const SliceKey& key);
  void commit_slice(const SliceKey& key, Txn txn, std::optional<Kept> offered = std::nullopt);
  void bind(const SliceRecord& slice, std::size_t index, TaskRecord& task, const JobSpec& job,
            std::unordered_map<MachineId, Resources>& promised);
  [[nodiscard]] std::optional<MachineId> choose_machine(
      const TaskRecord& task, const JobSpec& job,
      const std::unordered_map<MachineId, Resources>& promised);
  [[nodiscard]] bool takes(const MachineId& machine_id, const JobSpec& job,
                           const std::unordered_map<MachineId, Resources>& promised) const;
  void judge(const TaskId& id, TaskRecord& task, const JobSpec& job);
  void finish(const TaskId& id, TaskRecord& task, const JobSpec& job, const std::string& cause,
              bool saved);
  std::vector<Order> orders_for(const MachineId& machine_id, Worker& worker, bool in_answer);
  /// True when something was sent.
  bool direct(const MachineId& machine_id);
  void send_direct(const MachineId& machine_id, Worker& worker, std::vector<Order> orders);
  bool apply_report(Worker& worker, const Report& report,
                    WorkerView::Source source = WorkerView::Source::worker);
  void may_report(const MachineId& machine_id, Worker& worker, SteadyTime now) const;
  void check_reports_reachable(const MachineId& machine_id, Worker& worker);
  void check_commands_reachable(const MachineId& machine_id, Worker& worker);
  void note_machine(const Report& report, Worker& worker);
  [[nodiscard]] bool silent(const MachineId& machine_id) const;
  void put_machine(const MachineId& machine_id, MachineState state, const char* why,
                   JobId blamed = {});
  void keep_images();
  void flush_soon();
  [[nodiscard]] SteadyTime fresh() const;
  [[nodiscard]] Duration answer_limit() const;
  [[nodiscard]] bool keeps_cancelled(const MachineId& machine_id, const Worker& worker,
                                     Duration since) const;
  [[nodiscard]] Duration silence_limit() const;

  Metrics& metrics_;
  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  Election& election_;
  OrderSender& orders_;
  Cancellations& cancellations_;
  std::map<ZoneId, FencingToken> first_token_;  // with which the holding began
  std::map<ZoneId, FencingToken> tokens_;       // as of the last take_blocks
  std::unordered_map<MachineId, Worker> workers_;
  std::vector<Kept> offers_;
  std::set<SliceKey> dirty_;
  std::set<SliceKey> committing_;
  std::set<MachineId> machines_to_command_;  // hosts with orders to send at once
  std::set<std::string> taking_;             // blocks with a commit on its way
  std::map<SliceKey, SteadyTime>
      deferred_commits_;  // changes that wait for others of their slice, since when
  MachineWriter machines_;
  std::map<ZoneId, SteadyTime> token_renewed_;
  std::set<ZoneId> wants_token_renewal_;
  std::map<ZoneId, NodeId> holders_;  // whose each block was when last looked at
  std::map<ZoneId, std::map<MachineId, std::vector<SteadyTime>>> misdirected_reports_;
  SteadyTime extended_fresh_{};
  SteadyTime last_sweep_{-1'000'000};
  std::set<ZoneId> unreachable_zones_;  // at the last sweep
  Timer flush_timer_;
  Timer round_timer_;
  Timer sweep_timer_;
};

}  // namespace marblevale
