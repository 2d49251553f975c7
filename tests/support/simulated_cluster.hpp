// A small cluster for randomised tests: controllers with their leader and shard holders, workers
// that carry out orders, and a state service. Requests to the state service and offers between
// controllers are refused, lost, held up and repeated by a random generator with a given seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "leader/shard_assigner.hpp"
#include "protocol/json.hpp"
#include "shards/shard_holder.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale::testing {

/// What is to happen later, by the fake clock.
class EventQueue {
 public:
  explicit EventQueue(const Clock& clock) : clock_(clock) {}
  void after(Duration delay, std::function<void()> action) {
    events_.emplace(clock_.steady().time_since_epoch().count() + delay.count(), std::move(action));
  }
  void run_due() {
    while (!events_.empty() &&
           events_.begin()->first <= clock_.steady().time_since_epoch().count()) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

 private:
  const Clock& clock_;
  std::multimap<std::int64_t, std::function<void()>> events_;
};

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : random_(seed) {}
  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  Duration span(std::int64_t low_ms, std::int64_t high_ms) {
    return Duration{between(low_ms, high_ms)};
  }

 private:
  std::mt19937_64 random_;
};

/// One controller's way to the state service.
class FaultyStore : public Store {
 public:
  enum class Condition { good, refusing, losing, out_of_budget };

  FaultyStore(ScriptedStore& store, EventQueue& events, Dice& dice)
      : store_(store), events_(events), dice_(dice) {}

  Condition condition = Condition::good;

  void read(const std::string& key, std::function<void(ReadResult)> then) override {
    if (condition == Condition::refusing) return answer(then, ReadResult{});
    store_.read(key, [this, then](const ReadResult& r) { answer(then, r); });
  }
  void range(const std::string& prefix, const std::string& after,
             std::function<void(std::optional<RangePage>)> then) override {
    if (condition == Condition::refusing) return answer(then, std::optional<RangePage>{});
    store_.range(prefix, after,
                 [this, then](const std::optional<RangePage>& r) { answer(then, r); });
  }
  void commit(RequestPriority priority, Transaction txn,
              std::function<void(CommitResult)> then) override {
    switch (condition) {
      case Condition::refusing:
        return answer(then, CommitResult{Outcome::refused, {}, {}});
      case Condition::out_of_budget:
        // The own queue drops it after a while.
        if (priority == RequestPriority::lease) break;
        return answer(then, CommitResult{Outcome::refused, {}, {}}, Duration{2'500});
      case Condition::losing:
        if (priority == RequestPriority::lease || dice_.chance(0.4)) break;
        apply_later(txn, dice_.chance(0.3) ? dice_.span(2, 20) : dice_.span(2'000, 12'000));
        return answer(then, CommitResult{}, Duration{2'000});
      case Condition::good:
        break;
    }
    events_.after(dice_.span(2, 20), [this, alive = std::weak_ptr<bool>(alive_), &store = store_,
                                      priority, txn, then] {
      store.commit(priority, txn, [&](const CommitResult& r) {
        if (!alive.expired()) answer(then, r);
      });
    });
  }
  void watch(const std::string& prefix, Revision after, Duration hold,
             std::function<void(WatchResult)> then) override {
    store_.watch(prefix, after, hold,
                 [this, alive = std::weak_ptr<bool>(alive_), prefix, after, hold,
                  then](const WatchResult& r) {
                   if (alive.expired()) return;
                   if (condition == Condition::refusing) return watch(prefix, after, hold, then);
                   then(r);
                 });
  }
  void create_lease(Duration ttl, std::function<void(LeaseResult)> then) override {
    if (condition == Condition::refusing) return answer(then, LeaseResult{});
    store_.create_lease(ttl, [this, then](const LeaseResult& r) { answer(then, r); });
  }
  void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) override {
    if (condition == Condition::refusing) return answer(then, LeaseResult{Outcome::refused, {}});
    store_.renew_lease(lease_id, [this, then](const LeaseResult& r) { answer(then, r); });
  }
  [[nodiscard]] const StoreLimits& limits() const override { return store_.limits(); }
  void lower_limits(LimitsEvidence evidence) override { store_.lower_limits(evidence); }
  [[nodiscard]] double write_slack() override {
    return condition == Condition::out_of_budget ? 0 : 1;
  }

 private:
  template <typename Handler, typename Result>
  void answer(Handler then, Result result, Duration delay = Duration{3}) {
    events_.after(delay, [alive = std::weak_ptr<bool>(alive_), then, result] {
      if (!alive.expired()) then(result);
    });
  }
  void apply_later(const Transaction& txn, Duration delay) {
    events_.after(delay, [&store = store_, txn] {
      store.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
    });
  }

  ScriptedStore& store_;
  EventQueue& events_;
  Dice& dice_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// A machine's worker, by the published protocol as far as these tests need it.
class SimulatedWorker {
 public:
  struct Task {
    bool ended = false;
    std::string cause;
    SteadyTime until;
  };

  SimulatedWorker(std::string name, std::string zone)
      : name_(std::move(name)), zone_(std::move(zone)) {}

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::map<std::pair<std::string, std::uint64_t>, Task>& tasks() const {
    return tasks_;
  }
  SteadyTime next_heartbeat;

  std::string heartbeat() {
    json::Writer out;
    out.open()
        .put("host", name_)
        .put("address", name_)
        .put("build", "g8")
        .put("district", zone_)
        .put("loaners", false)
        .put("tenure", session_)
        .put("tally", ++sequence_)
        .put("warrant", token_);
    out.key("parts").open_list();
    for (const auto& [id, task] : tasks_) {
      out.open().put("part", id.first).put("try", id.second);
      out.put("status", task.ended ? "ended" : "running");
      if (task.ended) out.put("cause", task.cause);
      out.close();
    }
    out.close_list();
    out.close();
    return out.str();
  }

  void on_answer(const HeartbeatReply& answer, SteadyTime now, Dice& dice) {
    json::Document doc;
    if (answer.status != 200 || !json::parse(doc, answer.body)) return;
    const auto token = json::count(doc, "warrant");
    if (!token || *token < token_) return;
    token_ = *token;
    last_answered_ = now;
    execute(doc, now, dice);
  }

  /// The answer's status to a direct order.
  int on_order(const std::string& body, SteadyTime now, Dice& dice) {
    json::Document doc;
    if (!json::parse(doc, body)) return 400;
    if (*json::count(doc, "warrant") < token_ || *json::count(doc, "tenure") != session_) {
      return 409;
    }
    token_ = *json::count(doc, "warrant");
    execute(doc, now, dice);
    return 200;
  }

  void step(SteadyTime now, Duration lease) {
    for (auto& [id, task] : tasks_) {
      if (!task.ended && now >= task.until) task = {true, "done", now};
    }
    if (last_answered_ == SteadyTime{}) last_answered_ = now;
    if (now - last_answered_ <= lease) return;
    tasks_.clear();
    ++session_;
    last_answered_ = now;
  }

 private:
  void execute(const json::Document& doc, SteadyTime now, Dice& dice) {
    for (const auto& order : json::list(doc, "orders")->GetArray()) {
      const std::pair id{*json::text(order, "part"), *json::count(order, "try")};
      const std::string verb = *json::text(order, "verb");
      const auto known = tasks_.find(id);
      if (verb == "start" && known == tasks_.end()) {
        tasks_[id] = {false, "", now + dice.span(1'000, 5'000)};
      } else if (verb == "kill" && known != tasks_.end() && !known->second.ended) {
        known->second = {true, "halted", now};
      } else if (verb == "clear" && known != tasks_.end() && known->second.ended) {
        tasks_.erase(known);
      }
    }
  }

  std::string name_;
  std::string zone_;
  std::uint64_t session_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  SteadyTime last_answered_{};
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
};

class SimulatedCluster;

/// The ways from one controller to its peers and to the workers.
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

/// A cloud that has no more machines to rent, and replaces those that are deleted.
class SimulatedCloud : public ScriptedCloud {
 public:
  explicit SimulatedCloud(SimulatedCluster& cluster) : cluster_(cluster) {}
  void delete_machines(const std::vector<MachineId>& machine_ids,
                       std::function<void(DeletionOutcome)> then) override;

 private:
  SimulatedCluster& cluster_;
};

/// One life of a controller's process.
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
  ShardAssigner guarantee_records;
  ShardHolder holder;
};

class SimulatedCluster {
 public:
  /// `offers`: leaders offer releases to holders; otherwise they commit them first.
  SimulatedCluster(std::uint64_t seed, bool offers) : dice(seed), offers_releases(offers) {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 2, 768};
    type.boot = Duration{30'000};
    type.zones = {ZoneId("a"), ZoneId("b")};
    store.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    // Small machines in both zones: an array's tasks go to several holders.
    for (int i = 1; i <= 6; ++i) add_machine("vm-" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    for (const auto& [name, zone] : {std::pair{"n1", "a"}, {"n2", "b"}, {"n3", "a"}}) {
      start_controller(name, zone);
    }
  }

  static Team team(const std::string& name, double gpus) {
    Team out;
    out.name = TeamId(name);
    out.gpus = out.gpus_max = gpus;
    return out;
  }

  static Settings settings_of(const std::string& node, const std::string& zone) {
    Settings settings;
    settings.node = NodeId(node);
    settings.zone = ZoneId(zone);
    settings.zones = {ZoneId("a"), ZoneId("b")};
    for (const auto& [peer, at] : {std::pair{"n1", "a"}, {"n2", "b"}, {"n3", "a"}}) {
      if (node != peer) settings.peers.push_back({NodeId(peer), ZoneId(at), {}});
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
    MachineRecord m;
    m.machine_id = MachineId(name);
    m.machine_type = "g8";
    m.zone = ZoneId(zone);
    m.address = name;
    m.since = time.wall();
    store.put_machine(m);
    workers.emplace(name, SimulatedWorker(name, zone));
  }

  void replace_machine(const std::string& name) {
    const auto it = workers.find(name);
    if (it == workers.end()) return;
    const std::string zone = it->second.zone();
    workers.erase(it);
    add_machine("vm-" + std::to_string(100 + ++last_machine_), zone);
  }

  void submit(const JobSpec& spec) {
    JobRecord job{spec, time.wall(), std::nullopt};
    store.put(keys::job(spec.job_id), encode(job));
    specs[spec.job_id.get()] = spec;
  }

  void cancel(const std::string& job_id) {
    const auto entry = store.get(keys::job(JobId(job_id)));
    JobRecord job;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, job)) return;
    job.cancelled = time.wall();
    store.put(keys::job(JobId(job_id)), encode(job));
  }

  void step() {
    time.advance(kStep);
    events.run_due();
    store.tell_watch();
    for (auto& [name, worker] : workers) {
      worker.step(time.steady(), Duration{12'000});
      if (time.steady() < worker.next_heartbeat) continue;
      worker.next_heartbeat = time.steady() + dice.span(500, 1'200);
      if (SimulatedController* holder = holder_of(worker.zone())) {
        const HeartbeatReply answer = holder->holder.handle_heartbeat(worker.heartbeat());
        worker.on_answer(answer, time.steady(), dice);
      }
    }
  }

  SimulatedController* holder_of(const std::string& zone) {
    const auto entry = store.get(keys::shard(ZoneId(zone)));
    ShardRecord shard;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, shard)) return nullptr;
    const auto it = controllers.find(shard.holder);
    return it == controllers.end() ? nullptr : it->second.get();
  }

  /// GPUs of the team's tasks that are released or bound, as the state service has them.
  [[nodiscard]] double gpus_by_records(const std::string& team) const {
    double sum = 0;
    for (const auto& [job_id, spec] : specs) {
      if (spec.team.get() != team || !store.get(keys::job(spec.job_id))) continue;
      for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
        const auto entry = store.get(keys::slice(spec.job_id, n));
        SliceRecord slice;
        json::Document doc;
        if (!entry || !json::parse(doc, entry->value) || !decode(doc, slice)) continue;
        for (const TaskRecord& task : slice.tasks) sum += task.placed() ? spec.need.gpus : 0;
      }
    }
    return sum;
  }

  /// GPUs of the team's tasks that workers have not ended.
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

  /// A task that runs on two machines at this moment; empty when there is none.
  [[nodiscard]] std::string running_twice() const {
    std::set<std::string> running;
    for (const auto& [name, worker] : workers) {
      for (const auto& [id, task] : worker.tasks()) {
        if (!task.ended && !running.insert(id.first).second) return id.first;
      }
    }
    return "";
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
  Dice dice;
  bool offers_releases;
  std::map<std::string, SimulatedWorker> workers;
  std::map<std::string, JobSpec> specs;
  std::map<NodeId, std::unique_ptr<SimulatedController>> controllers;
  bool network_faults = false;

 private:
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_machine_ = 0;
};

inline SimulatedController::SimulatedController(SimulatedCluster& cluster, Settings node_settings,
                                                ProcessIncarnation incarnation)
    : settings(std::move(node_settings)),
      loop(&cluster.time),
      store(cluster.store, cluster.events, cluster.dice),
      network(cluster),
      cache(loop, cluster.time, store, incarnation.get()),
      election(loop, cluster.time, settings, store, cache, incarnation),
      cancellations(cluster.time, cache),
      cloud(cluster),
      autoscaler(loop, cluster.time, settings, cache, election, cloud),
      leader_loop(loop, cluster.time, settings, cache, election, autoscaler),
      guarantee_records(loop, cluster.time, settings, cache, election),
      holder(loop, cluster.time, settings, cache, election, network, cancellations) {
  if (cluster.offers_releases) leader_loop.offer_releases_through(network);
  cache.begin();
  election.begin();
  autoscaler.begin();
  leader_loop.begin();
  guarantee_records.begin();
  holder.begin();
}

inline void SimulatedCloud::delete_machines(const std::vector<MachineId>& machine_ids,
                                            std::function<void(DeletionOutcome)> then) {
  for (const MachineId& machine_id : machine_ids) cluster_.replace_machine(machine_id.get());
  then(DeletionOutcome::deleted);
}

inline void ControllerNetwork::offer(const NodeId& holder, const ReleaseOffer& offer,
                                     std::function<void(OfferOutcome)> then) {
  Dice& dice = cluster_.dice;
  const auto deliver = [&cluster = cluster_, holder, offer] {
    const auto it = cluster.controllers.find(holder);
    return it != cluster.controllers.end() && it->second != nullptr &&
           it->second->holder.answer_offer(offer) == OfferAnswer::accepted;
  };
  const auto answer = [alive = std::weak_ptr<bool>(alive_), then](OfferOutcome outcome) {
    if (!alive.expired()) then(outcome);
  };
  const bool faulty = cluster_.network_faults;
  if (faulty && dice.chance(0.2)) {
    // Held up on its way, long after the sender has given up.
    cluster_.events.after(dice.span(1'000, 10'000), [deliver] { deliver(); });
    cluster_.events.after(Duration{1'000}, [answer] { answer(OfferOutcome::unknown); });
    return;
  }
  const bool answered = !faulty || dice.chance(0.85);
  cluster_.events.after(dice.span(2, 20), [deliver, answer, answered] {
    const bool taken = deliver();
    if (answered) answer(taken ? OfferOutcome::accepted : OfferOutcome::declined);
  });
  if (!answered) {
    cluster_.events.after(Duration{1'000}, [answer] { answer(OfferOutcome::unknown); });
  }
  // Every message can come again.
  if (faulty && dice.chance(0.3)) {
    cluster_.events.after(dice.span(300, 8'000), [deliver] { deliver(); });
  }
}

inline void ControllerNetwork::send(const std::string& address, std::string body,
                                    HttpHandler then) {
  const auto execute = [&cluster = cluster_, address, body]() -> HttpReply {
    const auto it = cluster.workers.find(address);
    if (it == cluster.workers.end()) return HttpReply::no_answer();
    const int status = it->second.on_order(body, cluster.time.steady(), cluster.dice);
    return HttpReply::answer(status, it->second.heartbeat());
  };
  const auto answer = [alive = std::weak_ptr<bool>(alive_), then](const HttpReply& reply) {
    if (!alive.expired()) then(reply);
  };
  if (cluster_.network_faults && cluster_.dice.chance(0.15)) {
    // Carried out late, without an answer.
    cluster_.events.after(cluster_.dice.span(2'000, 12'000), [execute] { execute(); });
    cluster_.events.after(Duration{2'000}, [answer] { answer(HttpReply::no_answer()); });
    return;
  }
  cluster_.events.after(cluster_.dice.span(2, 20), [execute, answer] { answer(execute()); });
}

}  // namespace marblevale::testing
