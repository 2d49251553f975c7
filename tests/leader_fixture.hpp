// A leader with a scripted state service, a scripted cloud and a fake clock.
#pragma once

#include "helpers.hpp"
#include "planner/granting.hpp"
#include "scripted_store.hpp"

namespace marblevale::testing {

class ScriptedCloud : public Cloud {
 public:
  void types(std::function<void(std::optional<std::vector<MachineType>>)> then) override {
    then(machine_types);
  }
  void list(const HostId&, std::function<void(std::optional<MachineList>)> then) override {
    then(listing);
  }
  void hire(const std::string& name, const std::string&, const ZoneId& zone, bool,
            std::uint32_t how_many,
            std::function<void(HireFate, std::vector<HostId>)> then) override {
    hires.push_back(name);
    hired_in.push_back(zone);
    std::vector<HostId>& hosts = rented[name];
    while (rents && hosts.size() < how_many) {
      hosts.emplace_back("vm-" + name + "-" + std::to_string(hosts.size()));
    }
    const HireFate fate = hosts.empty() ? HireFate::no_capacity : HireFate::rented;
    held_hires.push_back([then = std::move(then), fate, hosts] { then(fate, hosts); });
    if (!hold_hires) answer_hires();
  }
  void remove(const std::vector<HostId>& hosts, std::function<void(bool)> then) override {
    removed.insert(removed.end(), hosts.begin(), hosts.end());
    then(removes);
  }
  void answer_hires() {
    while (!held_hires.empty()) {
      const auto next = std::move(held_hires.front());
      held_hires.pop_front();
      next();
    }
  }
  std::vector<std::string> hires;
  std::vector<ZoneId> hired_in;
  bool rents = false;
  std::map<std::string, std::vector<HostId>> rented;  // by the request's name
  bool hold_hires = false;
  std::deque<std::function<void()>> held_hires;
  std::vector<HostId> removed;
  bool removes = true;
  std::optional<MachineList> listing;                     // none: no answer
  std::optional<std::vector<MachineType>> machine_types;  // none: no answer
};

class LeaderTest : public ::testing::Test {
 protected:
  LeaderTest()
      : mirror_(loop_, time_, store_, 1),
        election_(loop_, settings(), store_, mirror_, Nonce(7)),
        fleet_(loop_, time_, settings_, mirror_, election_, cloud_),
        granting_(loop_, time_, settings_, mirror_, election_, fleet_) {
    MachineType type;
    type.name = "g8";
    type.room = {96, 8, 768};
    type.boot = Span{30'000};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  }

  Settings& settings() {
    settings_.node = NodeId("me");
    settings_.zone = ZoneId("a");
    settings_.zones = {ZoneId("a")};
    settings_.workers = {Span{3000}, Span{24'000}, Span{35'000}, Span{8000}, Span{49'000}};
    Team team;
    team.name = TeamId("crew");
    team.gpus = 2;
    team.gpus_max = 2;
    settings_.teams = {team};
    return settings_;
  }

  void begin() {
    mirror_.begin();
    election_.begin();
    fleet_.begin();
    granting_.begin();
    run(Span{20});
  }

  void run(Span span) {
    for (std::int64_t at = 0; at < span.ms; at += 10) {
      time_.advance(Span{10});
      store_.tell_watch();
    }
  }

  void machine(const std::string& host) {
    MachineRecord m;
    m.host = HostId(host);
    m.build = "g8";
    m.zone = ZoneId("a");
    m.since = time_.wall();
    store_.put_machine(m);
  }

  void submit(const JobSpec& spec) {
    JobRecord job{spec, time_.wall(), std::nullopt};
    store_.put(keys::job(spec.uid), encode(job));
  }

  [[nodiscard]] std::vector<TaskRecord> tasks(const std::string& uid) const {
    const auto entry = store_.get(keys::slice(Uid(uid), 0));
    SliceRecord slice;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, slice)) return {};
    return slice.tasks;
  }

  [[nodiscard]] std::vector<std::string> notes(const std::string& uid) const {
    std::vector<std::string> out;
    const auto grant = mirror_.records().grants.find(Uid(uid));
    if (grant == mirror_.records().grants.end()) return out;
    for (const Note& n : grant->second.record.notes) out.push_back(n.what);
    return out;
  }

  void set_task(const std::string& uid, const TaskRecord& task) {
    SliceRecord slice;
    slice.uid = Uid(uid);
    slice.tasks = {task};
    store_.put(keys::slice(slice.uid, 0), encode(slice));
  }

  [[nodiscard]] static TaskRecord bound(const std::string& host) {
    TaskRecord task;
    task.state = TaskState::bound;
    task.attempt = Attempt(1);
    task.zone = ZoneId("a");
    task.host = HostId(host);
    task.tenure = Tenure(1);
    return task;
  }

  FakeTime time_;
  Loop loop_{&time_};
  Settings settings_;
  ScriptedStore store_;
  ScriptedCloud cloud_;
  Mirror mirror_;
  Election election_;
  Fleet fleet_;
  Granting granting_;
};

}  // namespace marblevale::testing
