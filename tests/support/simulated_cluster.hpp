// A small cluster for randomised tests: controllers with their leader and shard holders, workers
// that execute orders, and a state service. A seeded random generator decides which requests
// to the state service are refused, delayed or lose their answers, which offers between controllers
// are delayed, duplicated or lose their answers, and which orders to workers are late or copied.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "cancellations/cancellations.hpp"
#include "election/election.hpp"
#include "leader/leader_loop.hpp"
#include "leader/shard_assigner.hpp"
#include "shards/shard_holder.hpp"
#include "support/event_queue.hpp"
#include "support/fake_time.hpp"
#include "support/faulty_store.hpp"
#include "support/helpers.hpp"
#include "support/scripted_cloud.hpp"
#include "support/simulated_worker.hpp"
#include "support/stored_records.hpp"

namespace marblevale::testing {

class SimulatedCluster;

/// The network between one controller and its peers and workers. It delays all messages. With
/// `network_faults` it also loses answers, delivers messages after the sender's timeout, and
/// delivers some offers twice.
class ControllerNetwork : public OfferChannel, public OrderSender {
 public:
  explicit ControllerNetwork(SimulatedCluster& cluster) : cluster_(cluster) {}
  void offer(const NodeId& holder, const ReleaseOffer& offer,
             std::function<void(OfferOutcome)> then) override;
  void send(const std::string& address, std::string body, HttpHandler then) override;

 private:
  SimulatedCluster& cluster_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// A cloud provider that has no capacity for more machines, but replaces each deleted machine by a
/// new one.
class SimulatedCloud : public ScriptedCloud {
 public:
  explicit SimulatedCloud(SimulatedCluster& cluster) : cluster_(cluster) {}
  void delete_machines(const std::vector<MachineId>& machine_ids,
                       std::function<void(DeletionOutcome)> then) override;

 private:
  SimulatedCluster& cluster_;
};

/// One incarnation of a controller's process, with its own faulty connection to the state service.
struct SimulatedController {
  SimulatedController(SimulatedCluster& cluster, Settings node_settings,
                      ProcessIncarnation incarnation);

  Settings settings;
  Loop loop;
  FaultyStore store;
  ControllerNetwork network;
  WatchCache cache;
  Election election;
  Cancellations cancellations;
  SimulatedCloud cloud;
  Autoscaler autoscaler;
  LeaderLoop leader_loop;
  ShardAssigner shard_assigner;
  ShardHolder holder;
};

/// Three controllers in two zones and six machines with their workers, which share one fake clock
/// and one state service. `step` advances all of them. The seeded `random` decides about faults.
class SimulatedCluster {
 public:
  /// With `offers`, leaders offer releases to shard holders. Without them, leaders commit all
  /// releases themselves.
  SimulatedCluster(std::uint64_t seed, bool offers) : random(seed), offers_releases(offers) {
    store.draw_answer_order(seed);
    MachineType type;
    type.name = "g8";
    type.resources = {96, 2, 768};
    type.boot = Duration{30'000};
    type.zones = {ZoneId("a"), ZoneId("b")};
    store.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    // The machines are small and in both zones, so that the tasks of an array belong to several
    // shard holders.
    for (int i = 1; i <= 6; ++i) add_machine("vm-" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    for (const auto& [name, zone] : {std::pair{"n1", "a"}, {"n2", "b"}, {"n3", "a"}}) {
      start_controller(name, zone);
    }
  }

  static Team team(const std::string& name, double gpus) {
    Team out;
    out.name = TeamId(name);
    out.guaranteed_gpus = out.max_gpus = gpus;
    return out;
  }

  static Settings settings_of(const std::string& node, const std::string& zone) {
    Settings settings;
    settings.node = NodeId(node);
    settings.zone = ZoneId(zone);
    settings.zones = {ZoneId("a"), ZoneId("b")};
    for (const auto& [peer, peer_zone] : {std::pair{"n1", "a"}, {"n2", "b"}, {"n3", "a"}}) {
      if (node != peer) settings.peers.push_back({NodeId(peer), ZoneId(peer_zone), {}});
    }
    settings.workers = {Duration{1'000}, Duration{12'000}, Duration{20'000}, Duration{4'000},
                        Duration{30'000}};
    settings.teams = {team("crew", 4), team("guild", 3)};
    return settings;
  }

  void start_controller(const std::string& node, const std::string& zone) {
    controllers[NodeId(node)].reset();
    controllers[NodeId(node)] = std::make_unique<SimulatedController>(
        *this, settings_of(node, zone), ProcessIncarnation(++last_incarnation_));
  }

  void add_machine(const std::string& name, const std::string& zone) {
    MachineRecord machine = machine_record(name, time.wall(), zone);
    machine.address = name;
    store.put_machine(machine);
    SimulatedWorker& worker = workers.emplace(name, SimulatedWorker(name, zone)).first->second;
    worker.on_start = [this, name](const std::string& task_id, std::uint64_t attempt) {
      check_start(name, task_id, attempt);
    };
  }

  void replace_machine(const std::string& name) {
    const auto it = workers.find(name);
    if (it == workers.end()) return;
    const std::string zone = it->second.zone();
    workers.erase(it);
    add_machine("vm-" + std::to_string(100 + ++last_machine_), zone);
  }

  void submit(const JobSpec& spec) {
    put_job(store, spec, time.wall());
    specs[spec.job_id.get()] = spec;
  }

  void cancel(const std::string& job_id) { cancel_job(store, job_id, time.wall()); }

  void step() {
    time.advance(kStep);
    events.run_due();
    store.deliver_watch_events();
    for (auto& [name, worker] : workers) {
      if (worker.hangs(time.steady())) continue;
      worker.step(time.steady(), Duration{12'000});
      if (time.steady() < worker.next_heartbeat) continue;
      if (copies_orders) {
        send_heartbeat(worker);
        continue;
      }
      worker.next_heartbeat = time.steady() + random.span(500, 1'200);
      const auto sent = worker.sent_at(time.steady());
      if (SimulatedController* holder = holder_of(worker.zone())) {
        const HeartbeatReply answer = holder->holder.handle_heartbeat(worker.heartbeat());
        worker.on_answer(answer, sent, time.steady(), random);
      }
    }
  }

  /// Sends a heartbeat through the network, which delays or loses some heartbeats and some answers,
  /// and delivers some heartbeats twice.
  void send_heartbeat(SimulatedWorker& worker) {
    const std::string body = worker.heartbeat();
    const auto sent = worker.sent_at(time.steady());
    worker.next_heartbeat = sent.at + SimulatedWorker::kAnswerTimeout;
    const bool late = network_faults && random.chance(0.05);
    events.after(late ? random.span(2'000, 15'000) : random.span(2, 20),
                 [this, name = worker.name(), zone = worker.zone(), body, sent] {
                   answer_heartbeat(name, zone, body, sent);
                 });
    if (network_faults && random.chance(0.1)) {
      events.after(random.span(500, 20'000), [this, zone = worker.zone(), body] {
        if (SimulatedController* holder = holder_of(zone)) holder->holder.handle_heartbeat(body);
      });
    }
  }
  void answer_heartbeat(const std::string& name, const std::string& zone, const std::string& body,
                        const SimulatedWorker::SentHeartbeat& sent) {
    SimulatedController* holder = holder_of(zone);
    if (holder == nullptr) return;
    const HeartbeatReply answer = holder->holder.handle_heartbeat(body);
    if (network_faults && random.chance(0.25)) return;
    events.after(random.span(2, 20), [this, name, answer, sent] {
      const auto it = workers.find(name);
      if (it == workers.end()) return;
      it->second.on_answer(answer, sent, time.steady(), random);
      it->second.next_heartbeat = time.steady() + random.span(500, 1'200);
    });
  }

  SimulatedController* holder_of(const std::string& zone) {
    const auto shard = stored_record<ShardRecord>(store, keys::shard(ZoneId(zone)));
    if (!shard) return nullptr;
    const auto it = controllers.find(shard->holder);
    return it == controllers.end() ? nullptr : it->second.get();
  }

  /// GPUs of the team's released and bound tasks, by the records in the state service. Ended jobs
  /// do not count.
  [[nodiscard]] double gpus_by_records(const std::string& team) const {
    double sum = 0;
    for (const auto& [job_id, spec] : specs) {
      if (spec.team.get() != team || !store.get(keys::job(spec.job_id))) continue;
      for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
        const auto slice = stored_record<SliceRecord>(store, keys::slice(spec.job_id, n));
        if (!slice) continue;
        for (const TaskRecord& task : slice->tasks) sum += task.placed() ? spec.need.gpus : 0;
      }
    }
    return sum;
  }

  /// GPUs of the team's tasks that are running on the workers.
  [[nodiscard]] double gpus_at_workers(const std::string& team) const {
    double sum = 0;
    for (const auto& [name, worker] : workers) {
      for (const auto& [id, task] : worker.tasks()) {
        if (task.ended) continue;
        const JobSpec& spec = specs.at(id.first.substr(0, id.first.find('/')));
        sum += spec.team.get() == team ? spec.need.gpus : 0;
      }
    }
    return sum;
  }

  /// The ID of a task that is running on two machines; empty when there is none.
  [[nodiscard]] std::string running_twice() const {
    std::set<std::string> running;
    for (const auto& [name, worker] : workers) {
      for (const auto& [id, task] : worker.tasks()) {
        if (!task.ended && !running.insert(id.first).second) return id.first;
      }
    }
    return "";
  }

  /// The machine that executed a start of a task which was not bound to it by the records in the
  /// state service, and the task; empty when there was none.
  [[nodiscard]] const std::string& unbound_start() const { return unbound_start_; }
  /// The starts that workers have executed.
  [[nodiscard]] std::size_t starts() const { return starts_; }

  /// Delivers the order to the worker, once it no longer hangs. A machine that is gone does not
  /// answer.
  void deliver_order(const std::string& address, const std::string& body, const HttpHandler& then) {
    const auto it = workers.find(address);
    if (it == workers.end()) return then(HttpReply::no_answer());
    SimulatedWorker& worker = it->second;
    if (worker.hangs(time.steady())) {
      events.after(worker.hangs_until() - time.steady(),
                   [this, address, body, then] { deliver_order(address, body, then); });
      return;
    }
    const int status = worker.on_order(body, time.steady(), random);
    then(HttpReply::answer(status, worker.heartbeat()));
  }
  /// Delivers a copy of some orders once more: within a second, within seconds, or minutes late.
  void copy_order(const std::string& address, const std::string& body) {
    if (!copies_orders || !random.chance(0.6)) return;
    const Duration delay = random.chance(0.4)   ? random.span(1, 1'000)
                           : random.chance(0.6) ? random.span(1'000, 20'000)
                                                : random.span(60'000, 180'000);
    events.after(delay,
                 [this, address, body] { deliver_order(address, body, [](const HttpReply&) {}); });
  }

  [[nodiscard]] std::size_t unfinished_jobs() const {
    std::size_t count = 0;
    for (const auto& [job_id, spec] : specs) count += store.get(keys::job(spec.job_id)) ? 1 : 0;
    return count;
  }

  static constexpr Duration kStep{20};

  FakeTime time;
  ScriptedStore store;
  EventQueue events{time};
  RandomSource random;
  bool offers_releases;
  std::map<std::string, SimulatedWorker> workers;
  std::map<std::string, JobSpec> specs;
  std::map<NodeId, std::unique_ptr<SimulatedController>> controllers;
  bool network_faults = false;
  bool copies_orders = false;

 private:
  void check_start(const std::string& machine_id, const std::string& task_id,
                   std::uint64_t attempt) {
    ++starts_;
    const bool bound = is_bound(store, task_id, attempt, machine_id);
    if (!bound) unbound_start_ = task_id + " on " + machine_id;
  }

  std::size_t starts_ = 0;
  std::string unbound_start_;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_machine_ = 0;
};

inline SimulatedController::SimulatedController(SimulatedCluster& cluster, Settings node_settings,
                                                ProcessIncarnation incarnation)
    : settings(std::move(node_settings)),
      loop(&cluster.time),
      store(cluster.store, cluster.events, cluster.random),
      network(cluster),
      cache(loop, cluster.time, store, incarnation.get()),
      election(loop, cluster.time, settings, store, cache, incarnation),
      cancellations(cluster.time, cache),
      cloud(cluster),
      autoscaler(loop, cluster.time, settings, cache, election, cloud),
      leader_loop(loop, cluster.time, settings, cache, election, autoscaler),
      shard_assigner(loop, cluster.time, settings, cache, election),
      holder(loop, cluster.time, settings, cache, election, network, cancellations) {
  if (cluster.offers_releases) leader_loop.offer_releases_through(network);
  cache.begin();
  election.begin();
  autoscaler.begin();
  leader_loop.begin();
  shard_assigner.begin();
  holder.begin();
}

inline void SimulatedCloud::delete_machines(const std::vector<MachineId>& machine_ids,
                                            std::function<void(DeletionOutcome)> then) {
  for (const MachineId& machine_id : machine_ids) cluster_.replace_machine(machine_id.get());
  then(DeletionOutcome::deleted);
}

inline void ControllerNetwork::offer(const NodeId& holder, const ReleaseOffer& offer,
                                     std::function<void(OfferOutcome)> then) {
  RandomSource& random = cluster_.random;
  const auto deliver = [&cluster = cluster_, holder, offer] {
    const auto it = cluster.controllers.find(holder);
    return it != cluster.controllers.end() && it->second != nullptr &&
           it->second->holder.answer_offer(offer) == OfferAnswer::accepted;
  };
  const auto answer = [alive = std::weak_ptr<bool>(alive_), then](OfferOutcome outcome) {
    if (!alive.expired()) then(outcome);
  };
  const bool faulty = cluster_.network_faults;
  if (faulty && random.chance(0.2)) {
    // The offer arrives after the sender's timeout of 1 s.
    cluster_.events.after(random.span(1'000, 10'000), [deliver] { deliver(); });
    cluster_.events.after(Duration{1'000}, [answer] { answer(OfferOutcome::unknown); });
    return;
  }
  const bool answered = !faulty || random.chance(0.85);
  cluster_.events.after(random.span(2, 20), [deliver, answer, answered] {
    const bool accepted = deliver();
    if (answered) answer(accepted ? OfferOutcome::accepted : OfferOutcome::declined);
  });
  if (!answered) {
    cluster_.events.after(Duration{1'000}, [answer] { answer(OfferOutcome::unknown); });
  }
  // The same offer arrives a second time.
  if (faulty && random.chance(0.3)) {
    cluster_.events.after(random.span(300, 8'000), [deliver] { deliver(); });
  }
}

inline void ControllerNetwork::send(const std::string& address, std::string body,
                                    HttpHandler then) {
  cluster_.copy_order(address, body);
  const auto execute = [&cluster = cluster_, address, body](const HttpHandler& on_reply) {
    cluster.deliver_order(address, body, on_reply);
  };
  const auto answer = [alive = std::weak_ptr<bool>(alive_), then](const HttpReply& reply) {
    if (!alive.expired()) then(reply);
  };
  if (cluster_.network_faults && cluster_.random.chance(cluster_.copies_orders ? 0.3 : 0.15)) {
    // The order is executed after the sender's timeout of 2 s, and its answer is lost.
    const bool minutes_late = cluster_.copies_orders && cluster_.random.chance(0.3);
    const Duration delay =
        minutes_late ? cluster_.random.span(60'000, 180'000) : cluster_.random.span(2'000, 12'000);
    cluster_.events.after(delay, [execute] { execute([](const HttpReply&) {}); });
    cluster_.events.after(Duration{2'000}, [answer] { answer(HttpReply::no_answer()); });
    return;
  }
  cluster_.events.after(cluster_.random.span(2, 20), [execute, answer] { execute(answer); });
}

}  // namespace marblevale::testing
