// Fixture of the leader, with a scripted state service, a scripted cloud and a fake clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "leader/leader_loop.hpp"
#include "support/controller_fixture.hpp"
#include "support/scripted_cloud.hpp"

namespace marblevale::testing {

/// The controller is the only one of its cluster, so that it is the leader after `begin`. The only
/// team, `crew`, has a limit of two GPUs.
class LeaderLoopTest : public ControllerTest {
 protected:
  LeaderLoopTest()
      : ControllerTest(leader_settings(), leader_machine_type()),
        autoscaler_(loop_, time_, settings_, cache_, election_, cloud_),
        leader_loop_(loop_, time_, settings_, cache_, election_, autoscaler_) {}

  static Settings leader_settings() {
    Settings settings = controller_settings();
    Team team;
    team.name = TeamId("crew");
    team.guaranteed_gpus = 2;
    team.max_gpus = 2;
    settings.teams = {team};
    return settings;
  }

  static MachineType leader_machine_type() {
    MachineType type = machine_type();
    type.boot = Duration{30'000};
    return type;
  }

  void begin() {
    cache_.begin();
    election_.begin();
    autoscaler_.begin();
    leader_loop_.begin();
    run(Duration{20});
  }

  void set_limit(double gpus) {
    settings_.teams[0].guaranteed_gpus = settings_.teams[0].max_gpus = gpus;
  }

  /// Adds zone `b`, in which machines can be provisioned as well.
  void use_two_zones() {
    settings_.zones = {ZoneId("a"), ZoneId("b")};
    MachineType type = leader_machine_type();
    type.zones = settings_.zones;
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  }

  void machine(const std::string& machine_id, const std::string& zone = "a") {
    store_.put_machine(machine_record(machine_id, time_.wall(), zone));
  }

  void machine_in_state(const std::string& machine_id, MachineState state,
                        std::optional<WallTime> reclaim_at = std::nullopt) {
    MachineRecord machine = machine_record(machine_id, time_.wall());
    machine.state = state;
    machine.reclaim_at = reclaim_at;
    store_.put_machine(machine);
  }

  /// Stores a machine that is suspect because a task of `blamed_job` has failed on it.
  void suspect_machine(const std::string& machine_id, const std::string& blamed_job) {
    MachineRecord machine = machine_record(machine_id, time_.wall());
    machine.state = MachineState::suspect;
    machine.failed_job = JobId(blamed_job);
    store_.put_machine(machine);
  }

  void submit(const JobSpec& spec) { put_job(store_, spec, time_.wall()); }

  [[nodiscard]] std::vector<TaskRecord> tasks(const std::string& job_id) const {
    return stored_tasks(store_, job_id);
  }

  /// GPUs of the released and bound tasks of the jobs, by the records in the state service.
  /// `gpus_by_job` gives for each job the GPUs that each of its tasks needs.
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
    for (const Note& n : guarantee_record->second.record.notes) out.push_back(n.text);
    return out;
  }

  void set_tasks(const std::string& job_id, const std::vector<TaskRecord>& tasks) {
    put_slice(store_, slice_record(JobId(job_id), tasks));
  }
  void set_task(const std::string& job_id, const TaskRecord& task) { set_tasks(job_id, {task}); }

  [[nodiscard]] static TaskRecord bound(const std::string& machine_id) {
    return bound_task(machine_id);
  }

  ScriptedCloud cloud_;
  Autoscaler autoscaler_;
  LeaderLoop leader_loop_;
};

}  // namespace marblevale::testing
