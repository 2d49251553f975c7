// A holder with a scripted state service, scripted workers and a fake clock.
#pragma once

#include "shards/shard_holder.hpp"
#include "support/helpers.hpp"
#include "support/scripted_store.hpp"

namespace marblevale::testing {

using Script = ScriptedStore::Script;

class ScriptedWorkers : public OrderSender {
 public:
  struct Sent {
    std::string address;
    std::string body;
    HttpHandler then;
  };
  void send(const std::string& address, std::string body, HttpHandler then) override {
    sent.push_back({address, std::move(body), std::move(then)});
  }
  std::vector<Sent> sent;
};

class ShardHolderTest : public ::testing::Test {
 protected:
  ShardHolderTest()
      : cache_(loop_, time_, store_, 1),
        election_(loop_, time_, settings(), store_, cache_, ProcessIncarnation(7)),
        cancellations_(time_, cache_),
        holder_(loop_, time_, settings_, cache_, election_, workers_, cancellations_) {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    cache_.begin();
    election_.begin();
    holder_.begin();
    run(Duration{10});
    give_shard("me", 7);
  }

  Settings& settings() {
    settings_.node = NodeId("me");
    settings_.zone = ZoneId("a");
    settings_.zones = {ZoneId("a")};
    settings_.peers.push_back({NodeId("other"), ZoneId("b"), {"10.0.0.2", 1}});
    settings_.workers = {Duration{3000}, Duration{24'000}, Duration{35'000}, Duration{8000},
                         Duration{49'000}};
    return settings_;
  }

  /// Time passes while the state service keeps the watch informed.
  void run(Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 10) {
      time_.advance(Duration{10});
      if (informed_) store_.tell_watch();
    }
  }

  void give_shard(const std::string& node, std::uint64_t incarnation) {
    token_ = FencingToken(
        store_
            .put(keys::shard(ZoneId("a")),
                 encode(ShardRecord{ZoneId("a"), NodeId(node), ProcessIncarnation(incarnation), 1}))
            .get());
    run(Duration{20});
  }

  [[nodiscard]] std::uint64_t token() const {
    return store_.get(keys::shard(ZoneId("a")))->mod_revision.get();
  }

  HeartbeatReply handle_heartbeat(std::uint64_t epoch, std::uint64_t seen,
                                  const std::string& parts = "",
                                  const std::string& machine_id = "vm-1") {
    return holder_.handle_heartbeat(
        R"({"host":")" + machine_id + R"(","address":"10.1.0.1:9000","build":"g8",)" +
        R"("district":"a","loaners":false,"tenure":)" + std::to_string(epoch) + R"(,"tally":)" +
        std::to_string(++sequence_) + R"(,"warrant":)" + std::to_string(seen) +
        R"(,"recall_s":null,"parts":[)" + parts + "]}");
  }

  static std::string task_index(const std::string& status, const std::string& cause = "",
                                const std::string& saved = "false", std::uint64_t attempt = 1) {
    return R"({"part":"req-1/0","try":)" + std::to_string(attempt) + R"(,"status":")" + status +
           R"(","cause":")" + cause + R"(","saved":)" + saved + "}";
  }

  /// A job of one task that the leader has released to vm-1.
  void release(bool gang = true) {
    release(gang ? testing::gang("req-1", 1, 1, 100) : testing::batch("req-1", 1, 1, 100));
  }
  void release(const JobSpec& spec) {
    JobRecord job;
    job.spec = spec;
    job.accepted = time_.wall();
    store_.put(keys::job(job.spec.job_id), encode(job));
    SliceRecord slice;
    slice.job_id = job.spec.job_id;
    TaskRecord task;
    task.state = TaskState::released;
    task.attempt = Attempt(1);
    task.zone = ZoneId("a");
    task.machine_id = MachineId("vm-1");
    task.since = time_.wall();
    slice.tasks = {task};
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }

  [[nodiscard]] TaskRecord task() const {
    const auto entry = store_.get(keys::slice(JobId("req-1"), 0));
    SliceRecord slice;
    json::Document doc;
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, slice)) return {};
    return slice.tasks.at(0);
  }

  void cancel() {
    JobRecord job;
    json::Document doc;
    EXPECT_TRUE(json::parse(doc, store_.get(keys::job(JobId("req-1")))->value));
    EXPECT_TRUE(decode(doc, job));
    job.cancelled = time_.wall();
    store_.put(keys::job(JobId("req-1")), encode(job));
  }

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

  FakeTime time_;
  Loop loop_{&time_};
  Settings settings_;
  ScriptedStore store_;
  ScriptedWorkers workers_;
  WatchCache cache_;
  Election election_;
  Cancellations cancellations_;
  ShardHolder holder_;
  FencingToken token_;
  std::uint64_t sequence_ = 0;
  bool informed_ = true;
};

}  // namespace marblevale::testing
