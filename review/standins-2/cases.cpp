// The cases of the second review. Usage: cases NAME; the environment gives RUN (the command of the
// deploy file), FOLDER (a temporary folder), RECORD (the record's path) and TROUBLE (0: without the
// disruption). Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
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
/// that the case is about never arose.
int finish(World& w, const std::string& rule, bool ready) {
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
  if (name == "log-order") return log_order();
  std::fprintf(stderr, "no such case\n");
  return 2;
}
