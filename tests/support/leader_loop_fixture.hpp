// A leader with a scripted state service, a scripted cloud and a fake clock.
#pragma once

#include "leader/leader_loop.hpp"
#include "support/helpers.hpp"
#include "support/scripted_store.hpp"

namespace marblevale::testing {

class ScriptedCloud : public Cloud {
 public:
  void list_machine_types(
      std::function<void(std::optional<std::vector<MachineType>>)> then) override {
    then(machine_types);
  }
  void list_machines(const std::optional<MachineId>&,
                     std::function<void(std::optional<MachineList>)> then) override {
    then(listing);
  }
  void provision(const ProvisioningRequest& request,
                 std::function<void(ProvisioningResult)> then) override {
    provisioning_requests.push_back(request.name);
    provisioned_in.push_back(request.zone);
    std::vector<MachineId>& machine_ids = provisioned[request.name];
    while (scales_out && machine_ids.size() < request.how_many) {
      machine_ids.emplace_back("vm-" + request.name + "-" + std::to_string(machine_ids.size()));
    }
    const ProvisioningOutcome outcome =
        machine_ids.empty() ? ProvisioningOutcome::no_capacity : ProvisioningOutcome::provisioned;
    held_provisioning.emplace_back([then = std::move(then), outcome, machine_ids] {
      then({outcome, machine_ids});
    });
    if (!hold_provisioning) answer_provisioning();
  }
  void delete_machines(const std::vector<MachineId>& machine_ids,
                       std::function<void(DeletionOutcome)> then) override {
    removed.insert(removed.end(), machine_ids.begin(), machine_ids.end());
    then(removes ? DeletionOutcome::deleted : DeletionOutcome::unknown);
  }
  void answer_provisioning() {
    while (!held_provisioning.empty()) {
      const auto next = std::move(held_provisioning.front());
      held_provisioning.pop_front();
      next();
    }
  }
  std::vector<std::string> provisioning_requests;
  std::vector<ZoneId> provisioned_in;
  bool scales_out = false;
  std::map<std::string, std::vector<MachineId>> provisioned;  // by the request's name
  bool hold_provisioning = false;
  std::deque<std::function<void()>> held_provisioning;
  std::vector<MachineId> removed;
  bool removes = true;
  std::optional<MachineList> listing;                     // none: no answer
  std::optional<std::vector<MachineType>> machine_types;  // none: no answer
};

class LeaderLoopTest : public ::testing::Test {
 protected:
  LeaderLoopTest()
      : cache_(loop_, time_, store_, 1),
        election_(loop_, time_, settings(), store_, cache_, ProcessIncarnation(7)),
        autoscaler_(loop_, time_, settings_, cache_, election_, cloud_),
        leader_loop_(loop_, time_, settings_, cache_, election_, autoscaler_) {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.boot = Duration{30'000};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  }

  Settings& settings() {
    settings_.node = NodeId("me");
    settings_.zone = ZoneId("a");
    settings_.zones = {ZoneId("a")};
    settings_.workers = {Duration{3000}, Duration{24'000}, Duration{35'000}, Duration{8000},
                         Duration{49'000}};
    Team team;
    team.name = TeamId("crew");
    team.gpus = 2;
    team.gpus_max = 2;
    settings_.teams = {team};
    return settings_;
  }

  void begin() {
    cache_.begin();
    election_.begin();
    autoscaler_.begin();
    leader_loop_.begin();
    run(Duration{20});
  }

  void run(Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 10) {
      time_.advance(Duration{10});
      store_.tell_watch();
    }
  }

  void machine(const std::string& machine_id) {
    MachineRecord m;
    m.machine_id = MachineId(machine_id);
    m.machine_type = "g8";
    m.zone = ZoneId("a");
    m.since = time_.wall();
    store_.put_machine(m);
  }

  void submit(const JobSpec& spec) {
    JobRecord job{spec, time_.wall(), std::nullopt};
    store_.put(keys::job(spec.job_id), encode(job));
  }

  [[nodiscard]] std::vector<TaskRecord> tasks(const std::string& job_id) const {
    const auto entry = store_.get(keys::slice(JobId(job_id), 0));
    SliceRecord slice;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, slice)) return {};
    return slice.tasks;
  }

  /// GPUs of the jobs' tasks that are released or bound, as the state service has them. The jobs
  /// are given with the GPUs that each of their tasks needs.
  [[nodiscard]] double gpus_in_use(const std::map<std::string, double>& gpus_by_job) const {
    double sum = 0;
    for (const auto& [job_id, gpus] : gpus_by_job) {
      for (const TaskRecord& task : tasks(job_id)) sum += task.placed() ? gpus : 0;
    }
    return sum;
  }

  [[nodiscard]] std::vector<std::string> notes(const std::string& job_id) const {
    std::vector<std::string> out;
    const auto guarantee_record = cache_.records().guarantee_records.find(JobId(job_id));
    if (guarantee_record == cache_.records().guarantee_records.end()) return out;
    for (const Note& n : guarantee_record->second.record.notes) out.push_back(n.what);
    return out;
  }

  void set_task(const std::string& job_id, const TaskRecord& task) {
    SliceRecord slice;
    slice.job_id = JobId(job_id);
    slice.tasks = {task};
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }

  [[nodiscard]] static TaskRecord bound(const std::string& machine_id) {
    TaskRecord task;
    task.state = TaskState::bound;
    task.attempt = Attempt(1);
    task.zone = ZoneId("a");
    task.machine_id = MachineId(machine_id);
    task.epoch = WorkerEpoch(1);
    return task;
  }

  FakeTime time_;
  Loop loop_{&time_};
  Settings settings_;
  ScriptedStore store_;
  ScriptedCloud cloud_;
  WatchCache cache_;
  Election election_;
  Autoscaler autoscaler_;
  LeaderLoop leader_loop_;
};

}  // namespace marblevale::testing
