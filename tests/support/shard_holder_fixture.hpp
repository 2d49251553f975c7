// Fixture of a shard holder, with a scripted state service, scripted workers and a fake clock.
#pragma once

#include <string>

#include "cancellations/cancellations.hpp"
#include "shards/shard_holder.hpp"
#include "support/controller_fixture.hpp"
#include "support/scripted_workers.hpp"

namespace marblevale::testing {

/// The controller holds the shard of zone `a`. No machine has a record at first: machines become
/// known by their heartbeats, which a test sends with `handle_heartbeat`.
class ShardHolderTest : public ControllerTest {
 protected:
  ShardHolderTest()
      : ControllerTest(holder_settings(), machine_type()),
        cancellations_(time_, cache_),
        holder_(loop_, time_, settings_, cache_, election_, workers_, cancellations_) {
    cache_.begin();
    election_.begin();
    holder_.begin();
    run(Duration{10});
    assign_shard("me", 7);
  }

  static Settings holder_settings() {
    Settings settings = controller_settings();
    settings.peers.push_back({NodeId("other"), ZoneId("b"), {"10.0.0.2", 1}});
    return settings;
  }

  void assign_shard(const std::string& node, std::uint64_t incarnation) {
    put_shard("a", node, incarnation);
    run(Duration{20});
  }

  /// The fencing token of the shard's current holder.
  [[nodiscard]] std::uint64_t token() const {
    return store_.get(keys::shard(ZoneId("a")))->mod_revision.get();
  }

  /// The body of a worker's heartbeat, with the next sequence number. `seen_token` is the newest
  /// fencing token that the worker has seen. `task_entries` are the entries of the task list,
  /// separated by commas, as `task_status` and `task_status_of` build them.
  std::string heartbeat_text(std::uint64_t epoch, std::uint64_t seen_token,
                             const std::string& task_entries = "",
                             const std::string& machine_id = "vm-1") {
    return R"({"host":")" + machine_id + R"(","address":"10.1.0.1:9000","build":"g8",)" +
           R"("district":"a","loaners":false,"tenure":)" + std::to_string(epoch) + R"(,"tally":)" +
           std::to_string(++sequence_) + R"(,"warrant":)" + std::to_string(seen_token) +
           R"(,"recall_s":null,"parts":[)" + task_entries + "]}";
  }

  HeartbeatReply handle_heartbeat(std::uint64_t epoch, std::uint64_t seen_token,
                                  const std::string& task_entries = "",
                                  const std::string& machine_id = "vm-1") {
    return holder_.handle_heartbeat(heartbeat_text(epoch, seen_token, task_entries, machine_id));
  }

  /// An entry of a heartbeat's task list for the given task.
  static std::string task_status_of(const std::string& task_id, const std::string& status,
                                    const std::string& cause = "", std::uint64_t attempt = 1) {
    return R"({"part":")" + task_id + R"(","try":)" + std::to_string(attempt) + R"(,"status":")" +
           status + R"(","cause":")" + cause + R"("})";
  }

  /// An entry of a heartbeat's task list for the only task of req-1. `saved` is a JSON value.
  static std::string task_status(const std::string& status, const std::string& cause = "",
                                 const std::string& saved = "false", std::uint64_t attempt = 1) {
    return R"({"part":"req-1/0","try":)" + std::to_string(attempt) + R"(,"status":")" + status +
           R"(","cause":")" + cause + R"(","saved":)" + saved + "}";
  }

  /// Answers all unanswered orders as vm-1 would, with the HTTP status `status`. Each answer has a
  /// newer heartbeat as its body.
  void answer_orders(int status, std::uint64_t epoch = 1, const std::string& task_entries = "") {
    for (; answered_orders_ < workers_.sent.size(); ++answered_orders_) {
      const auto reply = workers_.sent[answered_orders_].reply;
      reply(HttpReply::answer(status, heartbeat_text(epoch, token(), task_entries)));
    }
  }

  /// Ends the wait for all unanswered orders without an answer. The orders may still arrive.
  void leave_orders_unanswered() {
    for (; answered_orders_ < workers_.sent.size(); ++answered_orders_) {
      const auto reply = workers_.sent[answered_orders_].reply;
      reply(HttpReply::no_answer());
    }
  }

  /// Stores the job req-1 with one task, which the leader has released to vm-1.
  void release(bool gang = true) {
    release(gang ? testing::gang("req-1", 1, 1, 100) : testing::batch("req-1", 1, 1, 100));
  }
  void release(const JobSpec& spec) {
    put_job(store_, spec, time_.wall());
    TaskRecord task = placed_task("vm-1", TaskState::released);
    task.since = time_.wall();
    put_slice(store_, slice_record(spec.job_id, {task}));
  }

  /// The only task of req-1 by the records in the state service; a default task if there is none.
  [[nodiscard]] TaskRecord task() const {
    const auto tasks = stored_tasks(store_, "req-1");
    return tasks.empty() ? TaskRecord{} : tasks.front();
  }

  /// Marks req-1 as cancelled, as another controller would.
  void cancel() {
    ASSERT_TRUE(stored_record<JobRecord>(store_, keys::job(JobId("req-1"))));
    cancel_job(store_, "req-1", time_.wall());
  }

  /// True when an order whose body contains `verb`, or any other text, in quotes was sent to a
  /// worker.
  [[nodiscard]] bool sent(const std::string& verb) const {
    return std::any_of(workers_.sent.begin(), workers_.sent.end(), [&](const auto& s) {
      return s.body.find("\"" + verb + "\"") != std::string::npos;
    });
  }

  void bind_and_start() {
    handle_heartbeat(1, token());
    release();
    run(Duration{50});
    ASSERT_EQ(task().state, TaskState::bound);
    ASSERT_TRUE(sent("start"));
  }

  ScriptedWorkers workers_;
  Cancellations cancellations_;
  ShardHolder holder_;
  std::uint64_t sequence_ = 0;
  std::size_t answered_orders_ = 0;
};

}  // namespace marblevale::testing
