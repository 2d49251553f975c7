// The cases of the second review. Usage: cases NAME; the environment gives RUN (the command of the
// deploy file), FOLDER (a temporary folder), RECORD (the record's path) and TROUBLE (0: without the
// disruption). Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include <algorithm>
#include <cstdlib>
#include <cstring>

#include "world.hpp"

using namespace world;

namespace {

bool trouble() {
  const char* t = std::getenv("TROUBLE");
  return t == nullptr || std::strcmp(t, "0") != 0;
}

Options small_deployment() {
  Options o;  // the numbers of hawakir-fields are the defaults
  o.run = std::getenv("RUN") ? std::getenv("RUN") : "target/marblevale --config";
  o.folder = std::getenv("FOLDER") ? std::getenv("FOLDER") : ".";
  return o;
}

void add_types(World& w) {
  w.add_type("olive-node", 24, 4, 96, 35);
  w.add_type("wheat-node", 64, 8, 512, 40);
}

/// Ends the case: 1 if `rule` was broken, else 0; 2 if `ready` is false, because then the situation
/// that the case is about never arose, or if a controller ended by itself (a port that was taken).
int finish(World& w, const std::string& rule, bool ready) {
  w.reap();
  for (const Controller& c : w.controllers) ready = ready && c.ended_by_itself == 0;
  w.end_all();
  int count = 0;
  for (const std::string& b : w.broken) {
    if (b.compare(0, rule.size(), rule) != 0) continue;
    if (++count <= 5) std::printf("BROKEN %s\n", b.c_str());
  }
  record("result: %s, broken %d times%s", rule.c_str(), count, ready ? "" : ", but the case couldn't run");
  std::printf("%s: broken %d times%s\n", rule.c_str(), count, ready ? "" : ", but the case couldn't run");
  if (!ready) return 2;
  return count > 0 ? 1 : 0;
}

/// A wide array that must stay in one zone loses one of its two machines there.
int zone_bound_array() {
  World w(small_deployment());
  add_types(w);
  w.add_machine("wheat-node", "ghor", true);
  w.add_machine("wheat-node", "ghor", true);
  w.add_machine("wheat-node", "balqa", false);
  w.start_controllers();
  const std::string uid = "req-000601", first_uid = "req-000600";
  bool ready = false;
  const auto submit_array = [&](const std::string& id, int parts, double run_s) -> Job& {
    Job& j = w.jobs[id];
    j.uid = id;
    j.parts = parts;
    j.cpus = 0.25;
    j.accelerators = 0;
    j.memory_gb = 1.8;
    j.image_gb = 0.5;
    j.expect_s = j.run_s = run_s;
    j.loaners = true;
    return j;
  };
  after(10, [&] {  // keeps the machine in balqa busy until the wide array has begun in ghor
    submit_array(first_uid, 256, 15).district = "balqa";
    w.submit(first_uid, 0);
  });
  after(15, [&] {
    submit_array(uid, 600, 60).together = true;
    w.submit(uid, 0);
  });
  after(34, [&] {
    // The tasks fill both machines in ghor. The one that runs the first tasks is taken.
    Worker* first = nullptr;
    std::size_t others = 0;
    for (auto& [name, worker] : w.workers) {
      const bool has_first = worker->parts.contains({uid + "/0", 1});
      if (has_first && worker->district == "ghor" && worker->parts.size() >= 200) first = worker.get();
      if (!has_first && worker->district == "ghor") others += worker->parts.size();
    }
    ready = first != nullptr && others >= 200 && w.jobs[first_uid].completed.size() == 256;
    if (!ready || !trouble()) return;
    record("cloud: takes %s back with no notice", first->host.c_str());
    first->gone = true;
    first->parts.clear();
  });
  run_loop(105);
  return finish(w, "wrong_place", ready);
}

/// A second array waits beside one machine with many small tasks of a first one, and an idle machine.
int job_beside_many_tasks() {
  World w(small_deployment());
  add_types(w);
  w.add_machine("wheat-node", "ghor", false);
  w.start_controllers();
  const std::string first = "req-000701", second = "req-000702";
  const auto submit_array = [&](const std::string& uid, const char* team, int parts, double run_s) {
    Job& j = w.jobs[uid];
    j.uid = uid;
    j.team = team;
    j.parts = parts;
    j.cpus = 0.18;
    j.accelerators = 0;
    j.memory_gb = 1.3;
    j.expect_s = j.run_s = run_s;
    w.submit(uid, 1);
  };
  const auto started = [&](const std::string& uid) {  // tasks that are, or were, on a machine
    std::size_t count = w.jobs[uid].completed.size();
    for (const auto& [name, worker] : w.workers) {
      for (const auto& [key, part] : worker->parts) {
        if (job_of(key.first) == uid && part.status != "fetching" && part.status != "ended") ++count;
      }
    }
    return count;
  };
  // A machine that the job allows, with room for a task of it. Jobs of teams at their limit don't
  // count; the second job's team uses nothing, and its tasks need no accelerators.
  const auto has_room = [&](Worker& worker) {
    double cpus = 64, memory = 512;
    for (const auto& [key, part] : worker.parts) {
      if (part.status == "ended") continue;
      cpus -= w.jobs[job_of(key.first)].cpus;
      memory -= w.jobs[job_of(key.first)].memory_gb;
    }
    return !worker.gone && cpus >= 0.18 && memory >= 1.3;
  };
  after(3, [&] { submit_array(first, "hudud-mappers-00", trouble() ? 200 : 150, 150); });
  after(9, [&] { w.add_machine("wheat-node", "balqa", false); });
  bool ready = false, waits = true;
  after(14, [&] {
    ready = started(first) == (trouble() ? 200U : 150U);
    submit_array(second, "hudud-mappers-01", 64, 20);
  });
  double since = 0;
  auto check = std::make_shared<std::function<void()>>();
  *check = [&, check] {
    const Job& job = w.jobs[second];
    bool room = false;
    for (auto& [name, worker] : w.workers) room = room || has_room(*worker);
    if (started(second) > 0) waits = false;
    if (job.accepted_at < 0 || !room) since = now();
    since = std::max(since, job.accepted_at);
    if (waits && job.accepted_at >= 0 && now() - since >= 90) {
      w.break_rule("waiting", second + ": no task has started for 90 s beside a machine with room");
      return;
    }
    after(0.25, *check);
  };
  after(14.5, *check);
  for (double t = 16; t < 112; t += 5) after(t, [&] { w.poll(second, 2); });
  after(112, [&] {
    for (auto& [name, worker] : w.workers) {
      record("%s in %s: %zu tasks%s, %s", name.c_str(), worker->district.c_str(), worker->parts.size(),
             worker->gone ? ", returned" : "", has_room(*worker) ? "has room" : "no room");
    }
  });
  run_loop(113);
  return finish(w, "waiting", ready && w.jobs[second].accepted_at >= 0);
}

/// One node is refused by the state service for a while; the answer to its next watch holds both the
/// submission and the end of a job, the newest change first.
int log_order() {
  World w(small_deployment());
  add_types(w);
  w.state->newest_first = true;
  for (const auto& zone : w.options.zones) {
    w.add_machine("olive-node", zone, false);
    w.add_machine("olive-node", zone, false);
  }
  w.start_controllers();
  static std::size_t refused = 0, other = 0;
  after(12, [&] {
    for (std::size_t i = 0; i < 3; ++i) {
      if (static_cast<int>(i) != w.leader()) refused = i;
    }
    other = (refused + 1) % 3;
    if (trouble()) {
      record("state: refuses hub-%zu alone", refused);
      w.state->refused_nodes.insert(refused);
    }
    for (int k = 0; k < 3; ++k) {
      Job j;
      j.uid = "req-00050" + std::to_string(k);
      j.expect_s = j.run_s = 5;
      w.jobs[j.uid] = j;
      w.submit(j.uid, other);
      for (int q = 0; q < 3; ++q) after(10 + 3 * q, [&w, u = j.uid] { w.poll(u, other); });
      for (int q = 0; q < 10; ++q) after(24 + 5 * q, [&w, u = j.uid] { w.poll(u, refused); });
    }
    after(20, [&] {
      record("state: serves hub-%zu again", refused);
      w.state->refused_nodes.clear();
    });
  });
  run_loop(85);
  bool ready = true;
  for (const auto& [uid, job] : w.jobs) ready = ready && job.done_told_at >= 0 && job.done_told_at < 32;
  return finish(w, "went_back", ready && !w.jobs.empty());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "zone-bound-array") return zone_bound_array();
  if (name == "job-beside-many-tasks") return job_beside_many_tasks();
  if (name == "log-order") return log_order();
  std::fprintf(stderr, "no such case\n");
  return 2;
}
