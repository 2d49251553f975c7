// The holder of a shard with a scripted state service, scripted workers and a fake clock.
#pragma once

#include <string>

#include "cancellations/cancellations.hpp"
#include "shards/shard_holder.hpp"
#include "support/controller_fixture.hpp"
#include "support/scripted_workers.hpp"

namespace marblevale::testing {

/// The controller holds the shard of zone `a`. Its machines exist by their heartbeats alone, which
/// a test sends with `handle_heartbeat`.
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

  [[nodiscard]] std::uint64_t token() const {
    return store_.get(keys::shard(ZoneId("a")))->mod_revision.get();
  }

  /// The text of a worker's heartbeat, with the next sequence number. `task_entries` is the inside
  /// of its list of tasks, as `task_status` builds it.
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

  /// One entry of a heartbeat's list of tasks.
  static std::string task_status_of(const std::string& task_id, const std::string& status,
                                    const std::string& cause = "", std::uint64_t attempt = 1) {
    return R"({"part":")" + task_id + R"(","try":)" + std::to_string(attempt) + R"(,"status":")" +
           status + R"(","cause":")" + cause + R"("})";
  }

  /// One entry of a heartbeat's list of tasks: the only task of req-1.
  static std::string task_status(const std::string& status, const std::string& cause = "",
                                 const std::string& saved = "false", std::uint64_t attempt = 1) {
    return R"({"part":"req-1/0","try":)" + std::to_string(attempt) + R"(,"status":")" + status +
           R"(","cause":")" + cause + R"(","saved":)" + saved + "}";
  }

  /// vm-1 answers its unanswered orders, one after the other, each with a newer heartbeat.
  void answer_orders(int status, std::uint64_t epoch = 1, const std::string& task_entries = "") {
    for (; answered_orders_ < workers_.sent.size(); ++answered_orders_) {
      const auto reply = workers_.sent[answered_orders_].reply;
      reply(HttpReply::answer(status, heartbeat_text(epoch, token(), task_entries)));
    }
  }

  /// A job of one task that the leader has released to vm-1.
  void release(bool gang = true) {
    release(gang ? testing::gang("req-1", 1, 1, 100) : testing::batch("req-1", 1, 1, 100));
  }
  void release(const JobSpec& spec) {
    put_job(store_, spec, time_.wall());
    TaskRecord task = placed_task("vm-1", TaskState::released);
    task.since = time_.wall();
    put_slice(store_, slice_record(spec.job_id, {task}));
  }

  /// The only task of req-1, as the state service has it.
  [[nodiscard]] TaskRecord task() const {
    const auto tasks = stored_tasks(store_, "req-1");
    return tasks.empty() ? TaskRecord{} : tasks.front();
  }

  /// Another controller cancels req-1.
  void cancel() {
    ASSERT_TRUE(stored_record<JobRecord>(store_, keys::job(JobId("req-1"))));
    cancel_job(store_, "req-1", time_.wall());
  }

  /// Whether an order with this verb, or with this text in quotes, was sent to a worker.
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
