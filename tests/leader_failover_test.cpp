// Leader failover while requests are in flight or the state service is unavailable: no action is
// executed twice, no commit of an earlier term is applied, and no work is lost.
#include "leader/shard_assigner.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

class LeaderFailoverTest : public testing::LeaderLoopTest {
 protected:
  /// Simulates an outage of the state service: commits are refused, and watches get no answer.
  void outage(Duration duration) {
    for (std::int64_t at = 0; at < duration.count(); at += 10) {
      store_.scripts.assign(100, Script::refuse);
      time_.advance(Duration{10});
    }
    store_.scripts.clear();
  }

  void lose_leadership() {
    put_leader("other", 3);
    run(Duration{20});
    ASSERT_FALSE(election_.is_established_leader());
  }
  void regain_leadership() {
    store_.remove(keys::kLeader);
    run(Duration{50});
    ASSERT_TRUE(election_.is_established_leader());
  }
  /// Lets another controller lead for a term that is shorter than any timer interval. Then this
  /// controller leads again under a new term.
  void fail_over_and_back() {
    const ModRevision before = election_.term();
    lose_leadership();
    regain_leadership();
    ASSERT_NE(election_.term(), before);
  }
};

// The state `deleting` is normally committed before the cloud gets the deletion request. Guards
// against a cancelled task that keeps running because an outage of the state service lasts longer
// than `cancel_s`.
TEST_F(LeaderFailoverTest, AMachineWithACancelledTaskIsDeletedDuringAnOutage) {
  machine("vm-1");
  machine("vm-2");
  const JobSpec cancelled = testing::gang("req-1", 1, 1, 600);
  submit(cancelled);
  set_task("req-1", bound("vm-1"));
  submit(testing::gang("req-2", 1, 1, 600));
  set_task("req-2", bound("vm-2"));
  std::vector<MachineId> overdue;
  autoscaler_.set_overdue_machines([&overdue] { return overdue; });
  begin();
  store_.put(keys::job(cancelled.job_id), encode(JobRecord{cancelled, time_.wall(), time_.wall()}));
  run(Duration{1'000});
  cloud_.confirms_deletions = false;  // the first requests get no answer
  outage(Duration{28'000});
  EXPECT_TRUE(cloud_.deletion_requests.empty()) << "its holder does not say that the task is there";
  overdue = {MachineId("vm-1")};
  outage(Duration{2'000});
  ASSERT_FALSE(cloud_.deletion_requests.empty());
  cloud_.confirms_deletions = true;
  outage(Duration{2'000});
  const std::size_t requests_before = cloud_.deletion_requests.size();
  outage(Duration{15'000});
  EXPECT_EQ(cloud_.deletion_requests.size(), requests_before)
      << "once it was answered, that is enough";
  for (const MachineId& machine_id : cloud_.deletion_requests)
    EXPECT_EQ(machine_id, MachineId("vm-1"));
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::bound) << "what is not recorded is no proof";
  EXPECT_EQ(machine_state("vm-1"), MachineState::up);
  run(Duration{3'000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::gone);
  EXPECT_GT(cloud_.deletion_requests.size(), requests_before)
      << "after it was recorded, the deletion is asked again";
  EXPECT_EQ(machine_state("vm-2"), MachineState::up);
}

TEST_F(LeaderFailoverTest, AProvisioningAnswerWithoutALeaderIsNotCommitted) {
  settings_.peers = {{NodeId("n1"), ZoneId("b"), {}}, {NodeId("n2"), ZoneId("b"), {}}};
  cloud_.has_capacity = cloud_.hold_provisioning = true;
  begin();
  run(Duration{1'000});
  ASSERT_TRUE(election_.is_established_leader());
  submit(testing::gang("req-1", 1, 1, 60));
  run(Duration{3'000});
  ASSERT_EQ(cloud_.provisioning_requests.size(), 1U);
  const std::string key = keys::provisioning_request(cloud_.provisioning_requests[0]);
  const auto stored_request = store_.get(key);
  ASSERT_TRUE(stored_request);
  store_.remove(keys::kLeader);
  run(Duration{100});
  ASSERT_FALSE(election_.is_established_leader()) << "the others may stand first";
  cloud_.answer_provisioning();
  EXPECT_EQ(store_.get(key)->mod_revision, stored_request->mod_revision);
  cloud_.hold_provisioning = false;
  run(Duration{3'000});
  ASSERT_TRUE(election_.is_established_leader());
  EXPECT_TRUE(
      cache_.records().provisioning_requests.at(cloud_.provisioning_requests[0]).record.has_answer);
  EXPECT_EQ(std::set<std::string>(cloud_.provisioning_requests.begin(),
                                  cloud_.provisioning_requests.end())
                .size(),
            1U);
}

TEST_F(LeaderFailoverTest, AnUnresolvedProvisioningRequestIsRetriedUnderItsName) {
  ProvisioningRequest provisioning_request;
  provisioning_request.name = "h-5-1";
  provisioning_request.machine_type = "g8";
  provisioning_request.zone = ZoneId("a");
  provisioning_request.machine_count = 2;
  provisioning_request.requested_at = time_.wall();
  store_.put(keys::provisioning_request(provisioning_request.name), encode(provisioning_request));
  cloud_.has_capacity = true;
  begin();
  run(Duration{2'000});
  EXPECT_EQ(cloud_.provisioning_requests, std::vector<std::string>{"h-5-1"});
  EXPECT_EQ(cache_.records().provisioning_requests.at("h-5-1").record.machine_ids.size(), 2U);
}

// Guards against a deletion that is decided in one term and committed under the guard of the next
// term.
TEST_F(LeaderFailoverTest, ADeletionDecidedInAnEarlierTermIsNotCommittedInALaterOne) {
  machine("vm-1");
  begin();
  run(Duration{1'100});
  autoscaler_.request_deletion(MachineId("vm-1"), DeletionReason::idle);
  store_.hold_answers = true;
  store_.scripts.assign(50, Script::refuse);
  run(Duration{1'000});
  ASSERT_FALSE(store_.held_answers.empty()) << "the commit is in flight";
  store_.hold_answers = false;
  store_.scripts.clear();
  fail_over_and_back();
  run(Duration{1'500});
  store_.deliver_held_answers();
  run(Duration{3'000});
  EXPECT_EQ(machine_state("vm-1"), MachineState::up);
  EXPECT_TRUE(cloud_.deletion_requests.empty());
}

TEST_F(LeaderFailoverTest, JobsAreReleasedOnceThroughTenFailovers) {
  machine("vm-1");
  begin();
  std::vector<std::string> released_jobs;
  for (int i = 0; i < 10; ++i) {
    const std::string job_id = "req-" + std::to_string(i);
    submit(testing::gang(job_id, 1, 2, 60));  // uses the team's whole quota
    // The term ends while the release is in flight: the commit is applied, refused, or lost in an
    // outage.
    store_.hold_answers = true;
    if (i % 3 == 1) store_.scripts.assign(20, Script::refuse);
    if (i % 3 == 2) store_.scripts.assign(20, Script::drop_request);
    run(Duration{100});
    store_.hold_answers = false;
    store_.scripts.clear();
    if (i % 3 == 2) outage(Duration{3'000});
    fail_over_and_back();
    run(Duration{100});
    store_.deliver_held_answers();
    run(Duration{1'500});
    ASSERT_EQ(tasks(job_id).size(), 1U) << job_id;
    EXPECT_EQ(tasks(job_id)[0].state, TaskState::released) << job_id;
    EXPECT_EQ(tasks(job_id)[0].attempt, Attempt(1)) << job_id << " was released once";
    released_jobs.push_back(job_id);
    Transaction removal;  // the job ends
    removal.remove(keys::slice(JobId(job_id), 0)).remove(keys::job(JobId(job_id)));
    store_.commit(RequestPriority::binding, removal, [](const CommitResult&) {});
    run(Duration{200});
  }
  EXPECT_EQ(released_jobs.size(), 10U);
}

TEST_F(LeaderFailoverTest, AFailoverDoesNotMoveShards) {
  settings_.peers = {{NodeId("n2"), ZoneId("a"), {}}};
  store_.put(keys::node(NodeId("n2")),
             encode(NodeRecord{NodeId("n2"), ProcessIncarnation(5), LeaseId(90)}));
  put_shard("a", "me", 7);
  ShardAssigner shards(loop_, time_, settings_, cache_, election_);
  begin();
  shards.begin();
  for (int i = 0; i < 10; ++i) {
    run(Duration{12'000});
    EXPECT_EQ(cache_.records().shards.at(ZoneId("a")).record.holder, NodeId("me"));
    fail_over_and_back();
  }
  run(Duration{30'000});
  EXPECT_EQ(cache_.records().shards.at(ZoneId("a")).record.holder, NodeId("n2"))
      << "a leader that stays has work enough";
}

TEST_F(LeaderFailoverTest, AReleaseOfAnEarlierTermFailsByItsFencingToken) {
  machine("vm-1");
  begin();
  const JobSpec first = testing::gang("req-1", 1, 2, 60);
  submit(first);
  store_.scripts = {Script::delay, Script::refuse, Script::refuse, Script::refuse};
  run(Duration{100});
  ASSERT_EQ(store_.delayed.size(), 1U);
  ASSERT_EQ(store_.delayed[0].puts.at(0).key, keys::slice(first.job_id, 0));
  store_.scripts.clear();
  lose_leadership();
  // Under the other leader another job uses the team's quota.
  submit(testing::gang("req-2", 1, 2, 60));
  set_task("req-2", bound("vm-1"));
  run(Duration{20});
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  regain_leadership();
  run(Duration{2'000});
  EXPECT_TRUE(tasks("req-1").empty());
}

TEST_F(LeaderFailoverTest, AJobWhoseTasksAreAllDoneIsCompletedByTheLeader) {
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord done;
  done.state = TaskState::done;
  done.attempt = Attempt(1);
  set_task("req-1", done);
  begin();
  run(Duration{25'000});
  EXPECT_FALSE(store_.get(keys::job(JobId("req-1"))));
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
}

TEST_F(LeaderFailoverTest, AJobOfSeveralSlicesIsCompletedAfterAFailover) {
  const auto slice = [&](const std::string& job_id, std::uint32_t number, std::uint32_t size) {
    SliceRecord out;
    out.job_id = JobId(job_id);
    out.number = number;
    out.tasks.resize(size);
    for (TaskRecord& task : out.tasks) {
      task.state = TaskState::done;
      task.attempt = Attempt(1);
    }
    return out;
  };
  submit(testing::batch("req-1", 66, 1, 60));
  submit(testing::gang("req-2", 66, 1, 60));
  SliceRecord last = slice("req-1", 1, 2);
  last.tasks[1] = bound("vm-1");
  // The gang's second slice lost its machines after its tasks were done, but before their end was
  // recorded.
  SliceRecord lost = slice("req-2", 1, 2);
  lost.tasks[0].state = TaskState::idle;
  lost.tasks[1] = bound("vm-1");
  for (const SliceRecord& s : {slice("req-1", 0, 64), slice("req-2", 0, 64), last, lost}) {
    store_.put(keys::slice(s.job_id, s.number), encode(s));
  }
  begin();
  run(Duration{12'000});
  EXPECT_TRUE(store_.get(keys::job(JobId("req-1"))));
  EXPECT_TRUE(store_.get(keys::job(JobId("req-2")))) << "one of its tasks may still stand";
  last.tasks[1].state = TaskState::done;
  store_.put(keys::slice(last.job_id, 1), encode(last));
  lost.tasks[1].state = TaskState::idle;
  store_.put(keys::slice(lost.job_id, 1), encode(lost));
  fail_over_and_back();
  run(Duration{12'000});
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-1"))));
  EXPECT_TRUE(store_.get(keys::final_job(JobId("req-2"))));
}

// The task of a cancelled job may still run on a machine that does not confirm its end. It must
// count against the team's quota under a new leader too.
TEST_F(LeaderFailoverTest, ACancelledTaskCountsAgainstTheLimitUntilTerminated) {
  machine("vm-1");
  machine("vm-2");
  const JobSpec cancelled = testing::gang("req-1", 1, 2, 600);
  store_.put(keys::job(cancelled.job_id), encode(JobRecord{cancelled, time_.wall(), time_.wall()}));
  set_task("req-1", bound("vm-1"));
  begin();
  submit(testing::gang("req-2", 1, 1, 60));
  run(Duration{5'000});
  EXPECT_TRUE(tasks("req-2").empty());
  EXPECT_TRUE(store_.get(keys::job(cancelled.job_id))) << "nor is it over";
  TaskRecord ended;
  ended.attempt = Attempt(1);
  set_task("req-1", ended);
  run(Duration{1'000});
  ASSERT_EQ(tasks("req-2").size(), 1U);
  EXPECT_EQ(tasks("req-2")[0].state, TaskState::released);
}

// Tasks whose state can't be determined still count, because their machine is silent, in an
// unreachable zone, or without a record.
TEST_F(LeaderFailoverTest, TasksOnUnreachableMachinesCountUnderANewLeader) {
  use_two_zones();
  set_limit(3);
  machine("vm-1");
  machine("vm-2", "b");
  machine("vm-9");
  machine_in_state("vm-3", MachineState::silent);
  put_shard("b", "me", 7);
  int n = 1;
  for (const std::string machine_id : {"vm-2", "vm-3", "vm-lost"}) {
    const std::string job_id = "req-" + std::to_string(n++);
    submit(testing::gang(job_id, 1, 1, 600));
    TaskRecord task = bound(machine_id);
    if (machine_id == "vm-2") task.zone = ZoneId("b");
    set_task(job_id, task);
  }
  begin();
  leader_loop_.note_unreachable_zones(NodeId("me"), {ZoneId("b")});
  submit(testing::gang("req-9", 1, 1, 60));
  run(Duration{3'000});
  EXPECT_TRUE(tasks("req-9").empty()) << "the team's three GPUs are taken";
  for (const std::string job_id : {"req-1", "req-2", "req-3"}) {
    EXPECT_EQ(tasks(job_id).at(0).state, TaskState::bound) << job_id;
  }
}

}  // namespace
}  // namespace marblevale
