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
#include "blocks/hearing.hpp"
#include "blocks/order_sender.hpp"
#include "blocks/proof.hpp"
#include "cancellations/cancellations.hpp"
#include "election/election.hpp"
#include "net/http_server.hpp"
#include "peers/offers.hpp"
#include "planner/profile.hpp"
#include "store/machine_writer.hpp"
#include "store/mirror.hpp"

namespace marblevale {

/// The answer to a report: 200 with orders, or 421 with or without the holder's name.
struct HelloAnswer {
  int status = 421;
  std::string body;
};

/// Stops what is left of a gang that lost a task; true when that changed the slice.
bool stop_broken_gang(SliceRecord& slice);

class Holder {
 public:
  Holder(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
         Election& election, OrderSender& orders, Cancellations& cancellations);

  void begin();
  HelloAnswer hello(std::string_view body);
  /// Binds what the leader offers, if all of it can be bound here, as soon as this copy has what
  /// the leader's had; false: nothing was committed, and nothing will be.
  bool take(const ReleaseOffer& offer);

  /// Zones whose workers come here again and again though another controller holds the block.
  [[nodiscard]] std::vector<ZoneId> complaints();
  /// Zones that are held here while none of their machines is heard: cut off, or not met yet.
  [[nodiscard]] std::set<ZoneId> dark() const;
  /// A peer was the first to tell that the job is cancelled.
  void cancelled(const Uid& uid);
  /// Machines of which it is not known that their cancelled tasks have ended, though it is time to
  /// have them deleted.
  [[nodiscard]] std::vector<HostId> overdue() const;
  /// The latest moment up to which no cancellation can have been confirmed that we do not know of.
  void extend_freshness(Steady until);

 private:
  enum class Holding { none, settling, held };

  struct Worker {
    WorkerView view;
    ZoneId zone;
    /// Its last report, or since when it could have reported here. An answer to an order is none:
    /// a machine that reaches no controller hears orders all the same, while its lease lapses.
    Steady heard{-1'000'000};
    bool direct_busy = false;
    bool refused = false;                                // its lease is left to lapse
    std::map<std::pair<TaskId, Attempt>, Steady> kills;  // last sent
    std::optional<Wall> recall;
    std::vector<std::pair<ImageId, double>> images;  // seen in use, as in the machine's record
    bool images_changed = false;
    Hearing hearing;
  };

  /// An offer that waits for this copy to catch up, or for the state service.
  struct Kept {
    ReleaseOffer offer;
    Steady since;
  };

  void look_at(const Uid& uid);
  void take_blocks();
  void renew_warrant(const ZoneId& zone);
  [[nodiscard]] Holding holding(const ZoneId& zone) const;
  [[nodiscard]] Warrant warrant_of(const ZoneId& zone) const;
  void retry_offers();
  void round();
  void sweep();
  void give_orders();
  void discount_pause(Steady now);
  bool bind_offer(const ReleaseOffer& offer, Steady since);
  bool decide_slice(const SliceKey& key);
  void commit_slice(const SliceKey& key, Txn txn, std::optional<Kept> offered = std::nullopt);
  void bind(const SliceRecord& slice, std::size_t index, TaskRecord& task, const JobSpec& job,
            std::unordered_map<HostId, Room>& promised);
  [[nodiscard]] std::optional<HostId> choose_host(const TaskRecord& task, const JobSpec& job,
                                                  const std::unordered_map<HostId, Room>& promised);
  [[nodiscard]] bool takes(const HostId& host, const JobSpec& job,
                           const std::unordered_map<HostId, Room>& promised) const;
  void judge(const TaskId& id, TaskRecord& task, const JobSpec& job);
  void finish(const TaskId& id, TaskRecord& task, const JobSpec& job, const std::string& cause,
              bool saved);
  std::vector<Order> orders_for(const HostId& host, Worker& worker, bool in_answer);
  /// True when something was sent.
  bool direct(const HostId& host);
  void send_direct(const HostId& host, Worker& worker, std::vector<Order> orders);
  bool absorb(Worker& worker, const Report& report,
              WorkerView::Source source = WorkerView::Source::worker);
  void mark_deaf(const HostId& host, Worker& worker, const char* why);
  void may_report(const HostId& host, Worker& worker, Steady now) const;
  void look_for_mute(const HostId& host, Worker& worker);
  void look_for_deaf(const HostId& host, Worker& worker);
  void note_machine(const Report& report, Worker& worker);
  [[nodiscard]] bool silent(const HostId& host) const;
  void put_machine(const HostId& host, MachineState state, const char* why, Uid blamed = {});
  void keep_images();
  void flush_soon();
  [[nodiscard]] Steady fresh() const;
  [[nodiscard]] Span answer_limit() const;
  [[nodiscard]] bool keeps_cancelled(const HostId& host, const Worker& worker, Span since) const;
  [[nodiscard]] Span silence_limit() const;

  Meter& meter_;
  const Clock& clock_;
  const Settings& settings_;
  Mirror& mirror_;
  Election& election_;
  OrderSender& orders_;
  Cancellations& cancellations_;
  std::map<ZoneId, Warrant> first_warrant_;  // with which the holding began
  std::map<ZoneId, Warrant> warrants_;       // as of the last take_blocks
  std::unordered_map<HostId, Worker> workers_;
  std::vector<Kept> offers_;
  std::set<SliceKey> dirty_;
  std::set<SliceKey> committing_;
  std::set<HostId> wake_;            // hosts with orders to send at once
  std::set<std::string> taking_;     // blocks with a commit on its way
  std::map<SliceKey, Steady> soft_;  // changes that wait for others of their slice, since when
  MachineWriter machines_;
  std::map<ZoneId, Steady> warrant_renewed_;
  std::set<ZoneId> wants_renewal_;
  std::map<ZoneId, NodeId> holders_;  // whose each block was when last looked at
  std::map<ZoneId, std::map<HostId, std::vector<Steady>>> strays_;
  Steady extended_fresh_{};
  Steady last_sweep_{-1'000'000};
  std::set<ZoneId> dark_;  // at the last sweep
  Timer flush_timer_;
  Timer round_timer_;
  Timer sweep_timer_;
};

}  // namespace marblevale
