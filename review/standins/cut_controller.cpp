// A controller holds the shard of a zone with four machines, each with two jobs. The controller
// loses the state service and the workers; it keeps the other controllers, the cloud and its users.
// 1.5 s later users cancel one job of each machine through another controller. Another controller
// takes the shard over and ends the cancelled tasks.
//
// Arguments and exit status as in stale_deletion.cpp.
#include "world.hpp"

using namespace sim;

namespace {
constexpr double kCutAt = 25, kCancelAfter = 1.5, kCut = 38;
constexpr int kMachines = 4;
World w;
std::size_t cut_off = 0;
bool could_run = true;

void require(bool condition, const char* what) {
  if (condition) return;
  note("the case could not run: %s", what);
  could_run = false;
  event_base_loopbreak(base);
}

string machine_name(int i) { return cat("vm-%06d", i + 1); }

/// The jobs that are on the machine and that nobody has cancelled.
string healthy_jobs(const Machine& m) {
  string jobs;
  for (const auto& [key, task] : m.tasks)
    if (task.on_machine() && !w.jobs.at(task.job).asked_cancel)
      jobs += (jobs.empty() ? "" : ", ") + task.job;
  return jobs;
}

Job job(int number) {
  Job j;
  j.id = cat("req-%06d", number);
  j.workclass = "scenario-fan";
  j.team = "transit-estrie";
  j.cpus = 6;
  j.gpus = 1;
  j.mem = 24;
  j.zone = "laurentides";
  j.run = j.expect = 300;  // saves no checkpoints: its work is lost when it is stopped
  return j;
}

void cancel_one_on_each_machine() {
  for (int i = 0; i < kMachines; ++i) {
    const auto& tasks = w.machines.at(machine_name(i))->tasks;
    require(tasks.size() == 2, "a machine does not have two tasks");
    if (!could_run) return;
    w.abort(tasks.begin()->second.job, (cut_off + 1) % w.nodes.size());
  }
}
}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const bool trouble = string(argv[3]) != "0";
  signal(SIGPIPE, SIG_IGN);
  rng.seed(std::random_device{}());
  base = event_base_new();
  t0 = now();
  record = std::fopen(argv[2], "w");
  if (record == nullptr) return 2;
  w.setup(argv[1], {argv + 4, argv + argc});
  for (int i = 0; i < kMachines; ++i) w.add_machine("laurentides", false, 0.5);
  for (const char* zone : {"beauce", "beauce", "mauricie", "mauricie"})
    w.add_machine(zone, false, 0.5);
  for (std::size_t i = 0; i < w.nodes.size(); ++i) w.start_node(i);
  every(0.5, [] { w.check_processes(); });

  w.on_delete = [](const string& id, const string& from) {
    const Machine& m = *w.machines.at(id);
    const string jobs = healthy_jobs(m);
    if (jobs.empty() || m.holder < 0 || now() - m.answered_at > 10) return;
    const string& holder = w.nodes[static_cast<std::size_t>(m.holder)]->name;
    if (from == holder || from != w.nodes[cut_off]->name) return;
    violate("a stale holder acts", from + " deletes " + id + ", which runs " + jobs +
                                       ". Its reports are answered by " + holder + " (last " +
                                       cat("%.1f", now() - m.answered_at) + " s ago)");
  };

  for (int i = 1; i <= 2 * kMachines; ++i)
    after(12 + 0.2 * i, [i] { w.submit(job(i)); });
  after(kCutAt, [trouble] {
    const Machine& first = *w.machines.at(machine_name(0));
    require(first.holder >= 0, "the zone has no holder");
    if (!could_run) return;
    cut_off = static_cast<std::size_t>(first.holder);
    if (!trouble) return;
    w.cut_state(cut_off, true);
    w.cut_workers(cut_off, true);
    after(kCut, [] {
      w.cut_state(cut_off, false);
      w.cut_workers(cut_off, false);
    });
  });
  after(kCutAt + kCancelAfter, cancel_one_on_each_machine);
  after(kCutAt + 20, [trouble] {
    for (int i = 0; i < kMachines; ++i) {
      const Machine& m = *w.machines.at(machine_name(i));
      require(m.gone_at < 0 && !healthy_jobs(m).empty() && now() - m.answered_at < 10,
              "a machine is not in use");
      require(!trouble || m.holder != static_cast<int>(cut_off),
              "no other controller has taken over");
    }
    for (const auto& [id, j] : w.jobs)
      require(!j.asked_cancel || j.told_cancelled, "a cancellation was not confirmed");
  });
  after(75, [] { event_base_loopbreak(base); });
  event_base_dispatch(base);

  if (w.ended_by_itself) could_run = false;
  if (could_run && violations.empty()) note("the rule held");
  w.end_all();
  return !could_run ? 2 : violations.empty() ? 0 : 1;
}
