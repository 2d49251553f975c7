// The users' interface against a scripted state service.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "api/job_api.hpp"
#include "api/job_explanation.hpp"
#include "support/helpers.hpp"
#include "support/scripted_store.hpp"

namespace marblevale {
namespace {

using testing::FakeTime;
using testing::ScriptedStore;
using Script = ScriptedStore::Script;

const char* const kJob =
    R"({"uid":"req-000412","workclass":"train","crew":"vision","shape":"ensemble",
        "urgency":"urgent","parts":2,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,
        "bundle":"img-07","image_gb":6.2,"builds":["g8"],"district":null,"together":true,
        "spread":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,
        "due_s":900.0,"unheard_of":[1,{}]})";

std::string changed(const std::string& from, const std::string& to) {
  std::string text = kJob;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

class AdmissionTest : public ::testing::Test {
 protected:
  AdmissionTest() : cache_(loop_, clock_, store_, 1), cancellations_(clock_, cache_) {
    Team team;
    team.name = TeamId("vision");
    team.gpus_max = 4;
    settings_.teams.push_back(team);
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    cache_.begin();
    admission_ = std::make_unique<JobApi>(loop_, clock_, settings_, store_, cache_, cancellations_);
  }

  UserAnswer submit(const std::string& body) {
    UserAnswer out;
    out.status = 0;
    admission_->submit(body, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  UserAnswer query(const std::string& job_id) {
    UserAnswer out;
    out.status = 0;
    admission_->status(job_id, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  UserAnswer abort(const std::string& job_id) {
    UserAnswer out;
    out.status = 0;
    admission_->cancel(job_id, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  /// Time passes, and the watch tells what there is, until the answer has come.
  void settle(const UserAnswer& out) {
    for (int i = 0; i < 20 && out.status == 0; ++i) {
      clock_.advance(Duration{50});
      store_.deliver_watch_events();
    }
  }
  /// The answer to one of the users' requests.
  enum class Ask { question, submission, cancellation, why };
  void ask(Ask what, const std::string& job_id, AnswerHandler then, JobApi* of = nullptr) {
    JobApi& admission = of == nullptr ? *admission_ : *of;
    switch (what) {
      case Ask::question:
        admission.status(job_id, std::move(then));
        return;
      case Ask::submission:
        admission.submit(changed("req-000412", job_id), std::move(then));
        return;
      case Ask::cancellation:
        admission.cancel(job_id, std::move(then));
        return;
      case Ask::why:
        admission.explain(job_id, std::move(then));
        return;
    }
  }
  UserAnswer ask(Ask what, const std::string& job_id, JobApi* of = nullptr) {
    UserAnswer out;
    out.status = 0;
    ask(
        what, job_id, [&out](const UserAnswer& a) { out = a; }, of);
    settle(out);
    return out;
  }
  static std::string status_in(const UserAnswer& answer) {
    json::Document doc;
    if (!json::parse(doc, answer.body)) return "";
    return json::text(doc, "status").value_or("");
  }
  /// What another controller accepts.
  ModRevision accept_elsewhere(const std::string& job_id,
                               std::optional<WallTime> cancelled = std::nullopt) {
    json::Document doc;
    EXPECT_TRUE(json::parse(doc, changed("req-000412", job_id)));
    return store_.put(keys::job(JobId(job_id)), encode(JobRecord{std::get<JobSpec>(parse_job(doc)),
                                                                 clock_.wall(), cancelled}));
  }
  /// Whoever holds the last task ends the job, as it knows it: with the revision that it has of the
  /// job's record. One that loses against a cancellation reads again, and ends it as cancelled.
  void end_job(const std::string& job_id, ModRevision known) {
    FinalRecord record;
    record.job_id = JobId(job_id);
    record.task_count = 2;
    record.ended = clock_.wall();
    const auto commit = [&](ModRevision mod_revision, FinalState state) {
      record.state = state;
      Transaction txn;
      txn.guard(keys::job(record.job_id), mod_revision);
      txn.put(keys::final_job(record.job_id), encode(record, testing::kValueBytes))
          .remove(keys::job(record.job_id));
      store_.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
    };
    commit(known, FinalState::done);
    if (const auto still = store_.get(keys::job(record.job_id))) {
      commit(still->mod_revision, FinalState::cancelled);
    }
  }
  std::string final_state(const std::string& job_id) const {
    json::Document doc;
    FinalRecord record;
    const auto entry = store_.get(keys::final_job(JobId(job_id)));
    if (!entry || !json::parse(doc, entry->value) || !decode(doc, record)) return "";
    return record.state == FinalState::done ? "done" : "cancelled";
  }
  /// One thing happens: an answer of the state service comes, or time passes and the watch tells.
  void step() {
    if (!store_.held_answers.empty()) {
      const auto next = std::move(store_.held_answers.front());
      store_.held_answers.pop_front();
      next();
      return;
    }
    clock_.advance(Duration{50});
    store_.deliver_watch_events();
  }
  void finish(FinalState state) {
    FinalRecord record;
    record.job_id = JobId("req-000412");
    record.state = state;
    record.task_count = 2;
    record.ended = clock_.wall();
    Transaction txn;
    txn.put(keys::final_job(record.job_id), encode(record, testing::kValueBytes))
        .remove(keys::job(record.job_id));
    store_.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
  }

  FakeTime clock_;
  Loop loop_{&clock_};
  Settings settings_;
  ScriptedStore store_;
  WatchCache cache_;
  Cancellations cancellations_;
  std::unique_ptr<JobApi> admission_;
};

TEST_F(AdmissionTest, AnswersOnlyAfterTheCommit) {
  store_.hold_answers = true;
  int status = 0;
  admission_->submit(kJob, [&](const UserAnswer& a) { status = a.status; });
  EXPECT_EQ(status, 0);
  store_.deliver_held_answers();
  EXPECT_EQ(status, 201);
  EXPECT_TRUE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(AdmissionTest, ARefusedCommitIs503WithATimeToComeBack) {
  store_.scripts = {Script::refuse};
  const auto answer = submit(kJob);
  EXPECT_EQ(answer.status, 503);
  EXPECT_GT(answer.retry_after, std::chrono::seconds{0});
  EXPECT_FALSE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(AdmissionTest, AnUnknownCommitIsSettledByRepeatingIt) {
  store_.scripts = {Script::drop_answer};
  EXPECT_EQ(submit(kJob).status, 200);  // the repetition finds what the first one did
  store_.scripts = {};
  finish(FinalState::done);
  store_.scripts = {Script::drop_request};
  EXPECT_EQ(submit(kJob).status, 200);  // long over, still known
}

TEST_F(AdmissionTest, ALateSubmissionCannotBringBackAFinishedJob) {
  store_.scripts = {Script::delay};
  EXPECT_EQ(submit(kJob).status, 201);  // the repetition was accepted
  finish(FinalState::done);
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  EXPECT_FALSE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(AdmissionTest, AKnownJobGets200BeforeItsBodyIsJudged) {
  EXPECT_EQ(submit(kJob).status, 201);
  EXPECT_EQ(submit(changed("\"parts\":2", "\"parts\":0")).status, 200);
  EXPECT_EQ(submit(changed("\"vision\"", "\"nobody\"")).status, 200);
  finish(FinalState::cancelled);
  const auto answer = submit(changed("\"parts\":2", "\"parts\":0"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
}

TEST_F(AdmissionTest, BadBodiesAre400) {
  for (const std::string& body :
       {std::string("nonsense"), std::string("[1]"), std::string("{}"),
        changed("req-000412", "job-000412"), changed("\"parts\":2", "\"parts\":0"),
        changed("\"parts\":2", "\"parts\":100001"), changed("\"parts\":2", "\"parts\":2.5"),
        changed("\"cpus\":8.0", "\"cpus\":-1"), changed("\"cpus\":8.0", "\"cpus\":1e300"),
        changed("\"cpus\":8.0", "\"cpus\":\"8\""), changed("\"cpus\":8.0", "\"cpus\":1e999"),
        changed("ensemble", "herd"), changed("\"urgent\"", "\"yesterday\""),
        changed("\"expect_s\":240.0,", ""), changed("\"together\":true", "\"together\":1"),
        changed("[\"g8\"]", "[8]"), std::string(70'000, ' ')}) {
    EXPECT_EQ(submit(body).status, 400) << body.substr(0, 120);
  }
  EXPECT_TRUE(cache_.records().jobs.empty());
}

TEST_F(AdmissionTest, AFieldThatIsMissingOrOfTheWrongTypeIsNamed) {
  const std::vector<std::string> required{
      "uid",    "workclass",    "crew",      "shape",      "urgency",  "parts",
      "cpus",   "accelerators", "memory_gb", "bundle",     "image_gb", "together",
      "spread", "loaners",      "expect_s",  "snapshot_s", "stash_s"};
  const auto with = [](const std::string& name, const rapidjson::Value* value) {
    json::Document doc;
    EXPECT_TRUE(json::parse(doc, kJob));
    doc.RemoveMember(name.c_str());
    if (value != nullptr) {
      rapidjson::Value key(name.c_str(), doc.GetAllocator());
      rapidjson::Value copy(*value, doc.GetAllocator());
      doc.AddMember(key, copy, doc.GetAllocator());
    }
    rapidjson::StringBuffer out;
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    doc.Accept(writer);
    return std::string(out.GetString());
  };
  const rapidjson::Value null;
  const rapidjson::Value list(rapidjson::kArrayType);
  for (const std::string& name : required) {
    for (const rapidjson::Value* value :
         {static_cast<const rapidjson::Value*>(nullptr), &null, &list}) {
      const UserAnswer answer = submit(with(name, value));
      EXPECT_EQ(answer.status, 400) << name;
      EXPECT_NE(answer.body.find("\"" + name + ":"), std::string::npos) << answer.body;
    }
  }
  EXPECT_TRUE(cache_.records().jobs.empty());
  // What may be null may be absent as well.
  for (const char* name : {"builds", "district", "due_s"}) {
    EXPECT_EQ(submit(with(name, &list)).status, 400) << name;
  }
  EXPECT_EQ(submit(with("builds", nullptr)).status, 201);
  EXPECT_EQ(submit(with("district", nullptr)).status, 200) << "the same job again";
  EXPECT_EQ(submit(with("due_s", &null)).status, 200);
}

TEST_F(AdmissionTest, AGangThatMustBeSpreadNeedsASecondZone) {
  EXPECT_EQ(submit(changed("\"spread\":false", "\"spread\":true")).status, 422);
  std::string apart = changed("\"spread\":false", "\"spread\":true");
  apart.replace(apart.find("\"together\":true"), 15, "\"together\":false");
  EXPECT_EQ(submit(apart).status, 422) << "there is one zone";
  apart.replace(apart.find("ensemble"), 8, "batch");
  EXPECT_EQ(submit(apart).status, 201) << "one half after the other";
}

/// A standing job as users submit it.
std::string standing(const std::string& from = "", const std::string& to = "") {
  std::string text = changed("ensemble", "standing");
  text.replace(text.find("\"expect_s\":240.0"), 16, "\"expect_s\":0");
  if (from.empty()) return text;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST_F(AdmissionTest, AStandingJobIsAcceptedKnownAndCancelled) {
  EXPECT_EQ(submit(standing()).status, 201);
  EXPECT_EQ(submit(standing()).status, 200) << "known already";
  const JobRecord& job = cache_.records().jobs.at(JobId("req-000412")).record;
  EXPECT_TRUE(job.spec.endless());
  EXPECT_FALSE(job.spec.deadline) << "it is never complete";
  EXPECT_NE(query("req-000412").body.find("\"queued\""), std::string::npos);
  EXPECT_EQ(submit(standing("\"parts\":2", "\"parts\":9")).status, 200) << "a known job first";
  EXPECT_EQ(abort("req-000412").status, 200);
  EXPECT_NE(query("req-000412").body.find("\"cancelled\""), std::string::npos);
}

TEST_F(AdmissionTest, AStandingJobThatCanNeverRunIs422) {
  EXPECT_EQ(submit(standing("\"parts\":2", "\"parts\":5")).status, 422)
      << "all its tasks run at once: five GPUs of four";
  EXPECT_EQ(submit(standing("\"spread\":false", "\"spread\":true")).status, 422);
  EXPECT_EQ(submit(standing("[\"g8\"]", "[\"g9\"]")).status, 422);
  EXPECT_EQ(submit(standing("\"vision\"", "\"nobody\"")).status, 422);
}

TEST_F(AdmissionTest, AFaultInAStandingJobIsNamed) {
  for (const char* estimate : {"-1", "\"0\"", "null", "1e999"}) {
    const UserAnswer answer =
        submit(standing("\"expect_s\":0", std::string("\"expect_s\":") + estimate));
    EXPECT_EQ(answer.status, 400) << estimate;
    if (std::string(estimate) != "1e999") {
      EXPECT_NE(answer.body.find("expect_s"), std::string::npos);
    }
  }
  EXPECT_EQ(submit(standing("\"spread\":false,", "")).status, 400) << "no field may be absent";
  EXPECT_EQ(submit(standing("standing", "forever")).status, 400);
}

// A record that is larger than the state service will take could never be changed again: its job
// could not be cancelled.
TEST_F(AdmissionTest, ADescriptionThatCouldNotBeKeptIs422) {
  const std::string image = std::string(120, 'i');
  std::string text = changed("img-07", image);
  std::string types = "[\"g8\"";
  for (int i = 0; i < 20; ++i) types += ",\"" + std::string(90, 'g') + "\"";
  text.replace(text.find("[\"g8\"]"), 6, types + "]");
  store_.announce_limits(2048, 5);
  const UserAnswer answer = submit(text);
  EXPECT_EQ(answer.status, 422);
  EXPECT_NE(answer.body.find("too large"), std::string::npos);
  EXPECT_EQ(submit(kJob).status, 201);
}

// Accepted under the larger limit, by either version: it must still be possible to cancel it.
TEST_F(AdmissionTest, AJobWhoseRecordHasBecomeTooLargeCanBeCancelled) {
  std::string text = kJob;
  std::string types = "[\"g8\"";
  for (int i = 0; i < 20; ++i) types += ",\"" + std::string(90, 'g') + "\"";
  text.replace(text.find("[\"g8\"]"), 6, types + "]");
  ASSERT_EQ(submit(text).status, 201);
  store_.announce_limits(2048, 5);
  store_.enforces_announced = true;
  const UserAnswer answer = abort("req-000412");
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("\"cancelled\""), std::string::npos);
  EXPECT_LE(store_.get("mv/jobs/req-000412")->value.size(), 2048U);
}

TEST_F(AdmissionTest, WhatCanNeverRunIs422) {
  EXPECT_EQ(submit(changed("\"vision\"", "\"nobody\"")).status, 422);
  EXPECT_EQ(submit(changed("\"accelerators\":1.0", "\"accelerators\":3.0")).status, 422);
  EXPECT_EQ(submit(changed("\"cpus\":8.0", "\"cpus\":97.0")).status, 422);
  EXPECT_EQ(submit(changed("[\"g8\"]", "[\"g9\"]")).status, 422);
  EXPECT_EQ(submit(changed("\"district\":null", "\"district\":\"b\"")).status, 422);
  // An array needs room in the limit for one task only.
  std::string array = changed("ensemble", "batch");
  array.replace(array.find("\"accelerators\":1.0"), 18, "\"accelerators\":3.0");
  EXPECT_EQ(submit(array).status, 201);
}

TEST_F(AdmissionTest, UnknownJobsGet404OnlyAfterASuccessfulRead) {
  EXPECT_EQ(query("req-1").status, 404);
  store_.unavailable = true;
  EXPECT_EQ(query("req-1").status, 503);
  EXPECT_EQ(query("nonsense").status, 404);
}

// Found by a day with delayed packets: a question that joined a read sent before it was answered
// with a state older than the one that another controller had told its user meanwhile.
TEST_F(AdmissionTest, AQuestionIsNeverAnsweredByAReadThatWasSentBeforeIt) {
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, kJob));
  // Accepted by another controller a moment ago: this one's copy does not have it yet.
  store_.put(keys::job(JobId("req-000412")),
             encode(JobRecord{std::get<JobSpec>(parse_job(doc)), clock_.wall(), std::nullopt}));
  store_.hold_answers = true;
  std::string first;
  std::string second;
  admission_->status("req-000412", [&](const UserAnswer& a) { first = a.body; });
  store_.hold_answers = false;
  finish(FinalState::done);
  admission_->status("req-000412", [&](const UserAnswer& a) { second = a.body; });
  EXPECT_EQ(second, "");
  store_.deliver_held_answers();
  EXPECT_NE(first.find("queued"), std::string::npos);
  EXPECT_NE(second.find("done"), std::string::npos);
}

TEST_F(AdmissionTest, AQuestionWaitsForAWatchThatWasOpenedAfterIt) {
  EXPECT_EQ(submit(kJob).status, 201);
  clock_.advance(Duration{10});
  UserAnswer out;
  out.status = 0;
  admission_->status("req-000412", [&](const UserAnswer& a) { out = a; });
  store_.deliver_watch_events();  // opened before the question: what it does not tell may have
                                  // happened since
  EXPECT_EQ(out.status, 0);
  finish(FinalState::done);
  settle(out);
  EXPECT_NE(out.body.find("done"), std::string::npos);
  // No question waits for ever: a watch that does not answer costs a 503.
  UserAnswer late;
  late.status = 0;
  EXPECT_EQ(submit(changed("req-000412", "req-000413")).status, 201);
  admission_->status("req-000413", [&](const UserAnswer& a) { late = a; });
  clock_.advance(Duration{2000});
  EXPECT_EQ(late.status, 503);
  EXPECT_GT(late.retry_after, std::chrono::seconds{0});
}

TEST_F(AdmissionTest, CancelIsToldOnlyOnceCommittedAndStays) {
  EXPECT_EQ(abort("req-000412").status, 404);
  submit(kJob);
  store_.scripts = {Script::refuse};
  EXPECT_EQ(abort("req-000412").status, 503);
  store_.scripts = {Script::drop_answer};
  const auto answer = abort("req-000412");  // unknown, then read back
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
  EXPECT_NE(query("req-000412").body.find("cancelled"), std::string::npos);
}

TEST_F(AdmissionTest, CancellingADoneJobTellsDone) {
  submit(kJob);
  finish(FinalState::done);
  EXPECT_NE(abort("req-000412").body.find("done"), std::string::npos);
}

TEST_F(AdmissionTest, WhyNamesAMistakeThatMakesAJobFailEverywhere) {
  submit(kJob);
  SliceRecord slice;
  slice.job_id = JobId("req-000412");
  slice.tasks.resize(2);
  for (TaskRecord& task : slice.tasks) {
    task.faults = 2;
    task.since = clock_.wall();
  }
  slice.tasks[0].failed_on = MachineId("vm-1");
  slice.tasks[1].failed_on = MachineId("vm-2");
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  step();
  const UserAnswer failing = ask(Ask::why, "req-000412");
  EXPECT_NE(failing.body.find("\"faults\":4"), std::string::npos) << failing.body;
  EXPECT_NE(failing.body.find("\"failed_machines\":2"), std::string::npos);
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, failing.body));
  EXPECT_NEAR(json::number(doc, "retry_in_s").value_or(0), 4.0, 0.5) << "after the second failure";
  EXPECT_NE(format_explanation(failing.body)
                .find("failed 4 times, on at least 2 machines, and none has "
                      "worked: probably a mistake in the job; tried again in"),
            std::string::npos)
      << format_explanation(failing.body);
  // One failure, or one among tasks that work, names no mistake.
  slice.tasks[0].progress = Duration{10'000};
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  step();
  EXPECT_EQ(ask(Ask::why, "req-000412").body.find("mistake"), std::string::npos);
}

/// Users who ask about their jobs many times as often as usual, within one interval of the watch.
class JobQueryOverloadTest : public AdmissionTest {
 protected:
  struct Tally {
    int answered = 0;  // 200
    int refused = 0;   // 503 with a time to come back
    [[nodiscard]] int all() const { return answered + refused; }
  };
  static constexpr int kJobs = 50;
  static std::string job_name(int number) { return "req-0005" + std::to_string(10 + number); }

  void accept_jobs() {
    for (int i = 0; i < kJobs; ++i) accept_elsewhere(job_name(i));
    store_.deliver_watch_events();
  }
  void ask_many(int questions) {
    for (int i = 0; i < questions; ++i) {
      admission_->status(job_name(i % kJobs), [this](const UserAnswer& a) {
        if (a.status == 200) ++tally_.answered;
        if (a.status == 503 && a.retry_after > std::chrono::seconds{0}) ++tally_.refused;
      });
    }
  }
  Tally tally_;
};

TEST_F(JobQueryOverloadTest, IsAnsweredFromOneWordOfTheWatchAndTheRestIsRefusedAtOnce) {
  accept_jobs();
  store_.reads = 0;
  const std::size_t commits = store_.commits.size();
  for (int interval = 1; interval <= 3; ++interval) {
    tally_ = {};
    ask_many(5'000);
    EXPECT_GE(tally_.refused, 4'500) << "told at once, not when the watch returns";
    clock_.advance(Duration{50});
    store_.deliver_watch_events();  // was opened before the questions came
    clock_.advance(Duration{50});
    store_.deliver_watch_events();
    EXPECT_EQ(tally_.all(), 5'000);
    EXPECT_GE(tally_.answered, 300) << "in each interval some users learn something";
    EXPECT_LE(tally_.answered, 500) << "answers at one word hold up everything else";
  }
  EXPECT_EQ(store_.reads, 0);
  EXPECT_EQ(store_.commits.size(), commits);
}

TEST_F(JobQueryOverloadTest, KeepsOutNoCancellationNorARepeatedSubmission) {
  accept_jobs();
  ask_many(10'000);
  EXPECT_EQ(status_in(abort(job_name(0))), "cancelled");
  ask_many(10'000);
  EXPECT_EQ(submit(changed("req-000412", job_name(1))).status, 200);
}

TEST_F(JobQueryOverloadTest, AboutAJobThatIsOverCostsTwoReads) {
  submit(kJob);
  finish(FinalState::done);
  step();
  step();
  store_.reads = 0;
  int answered = 0;
  for (int i = 0; i < 5'000; ++i) {
    admission_->status("req-000412",
                       [&](const UserAnswer& a) { answered += a.status == 200 ? 1 : 0; });
  }
  EXPECT_EQ(answered, 5'000);
  EXPECT_LE(store_.reads, 2) << "the job, then its end";
}

// A question that nobody answers must not be counted for ever.
TEST_F(JobQueryOverloadTest, ThatMeetsAnOutageLeavesNoQuestionOpen) {
  accept_jobs();
  ask_many(1'000);
  clock_.advance(Duration{5'000});  // the watch says nothing
  EXPECT_EQ(tally_.refused, 1'000);
  store_.deliver_watch_events();
  tally_ = {};
  ask_many(300);
  clock_.advance(Duration{50});
  store_.deliver_watch_events();
  clock_.advance(Duration{50});
  store_.deliver_watch_events();
  EXPECT_EQ(tally_.answered, 300);
}

TEST_F(AdmissionTest, WhyTellsTheGuaranteeAndItsHistory) {
  submit(kJob);
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-000412");
  guarantee_record.guarantees = {
      {0, clock_.wall() + Duration{5000}, clock_.wall() + Duration{9000}, {}}};
  guarantee_record.note(clock_.wall(), "displaced for req-7 (urgent)");
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  store_.deliver_watch_events();
  UserAnswer out;
  out.status = 0;
  admission_->explain("req-000412", [&](const UserAnswer& a) { out = a; });
  settle(out);
  EXPECT_EQ(out.status, 200);
  EXPECT_NE(out.body.find("\"granted_start_s\":5.0"), std::string::npos) << out.body;
  EXPECT_NE(out.body.find("displaced for req-7"), std::string::npos);
  admission_->explain("req-2", [&](const UserAnswer& a) { out = a; });
  EXPECT_EQ(out.status, 404);
}

// Whatever happened before: once the state service is back, every accepted job is answered for, and
// no bound on questions leaves one of them out when it is asked again.
TEST_F(AdmissionTest, AfterAnOutageEveryAcceptedJobIsAnsweredFor) {
  constexpr int kJobs = 500;
  json::Document doc;
  for (int i = 0; i < 2 * kJobs; ++i) {
    const std::string job_id = "req-" + std::to_string(i);
    ASSERT_TRUE(json::parse(doc, changed("req-000412", job_id)));
    if (i < kJobs) {
      store_.put(keys::job(JobId(job_id)),
                 encode(JobRecord{std::get<JobSpec>(parse_job(doc)), clock_.wall(), std::nullopt}));
    } else {
      FinalRecord record;
      record.job_id = JobId(job_id);
      store_.put(keys::final_job(record.job_id), encode(record, testing::kValueBytes));
    }
  }
  for (int i = 0; i < 10; ++i) {
    clock_.advance(Duration{50});
    store_.deliver_watch_events();
  }
  store_.unavailable = true;
  store_.hold_answers = true;
  std::vector<int> status(std::size_t{2} * kJobs, 0);
  const auto ask = [&](int i) {
    admission_->status("req-" + std::to_string(i), [&status, i](const UserAnswer& a) {
      status[static_cast<std::size_t>(i)] = a.status;
    });
  };
  for (int i = 0; i < 2 * kJobs; ++i) ask(i);
  store_.deliver_held_answers();
  clock_.advance(Duration{5000});
  for (const int s : status) EXPECT_EQ(s, 503);
  store_.unavailable = store_.hold_answers = false;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 2 * kJobs; ++i) {
      if (status[static_cast<std::size_t>(i)] != 200) ask(i);
    }
    for (int i = 0; i < 10; ++i) {
      clock_.advance(Duration{100});
      store_.deliver_watch_events();
    }
  }
  EXPECT_EQ(std::count(status.begin(), status.end(), 200), 2 * kJobs);
}

// One record decides, and every answer follows it, wherever between a request's reads and commits
// the job's last task ends, and whether this controller knew the job or another had accepted it.
// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
TEST_F(AdmissionTest, EveryAnswerFollowsTheDecidingRecordWhereverTheEndFalls) {
  // Another controller, which must read all that it tells.
  WatchCache stale(loop_, clock_, store_, 2);
  Cancellations others(clock_, stale);
  JobApi other(loop_, clock_, settings_, store_, stale, others);
  int number = 0;
  for (const Ask what : {Ask::question, Ask::submission, Ask::cancellation, Ask::why}) {
    for (const bool known : {true, false}) {
      for (int end_after = 0; end_after < 8; ++end_after) {
        const std::string job_id = "req-" + std::to_string(++number);
        SCOPED_TRACE(job_id + ": request " + std::to_string(static_cast<int>(what)) +
                     (known ? ", known" : ", accepted elsewhere") + ", ends after step " +
                     std::to_string(end_after));
        ModRevision mod_revision = accept_elsewhere(job_id);
        if (known) {
          for (int i = 0; i < 3; ++i) step();
        }
        store_.hold_answers = true;
        UserAnswer out;
        out.status = 0;
        int answers = 0;
        ask(what, job_id, [&](const UserAnswer& a) {
          out = a;
          ++answers;
        });
        for (int i = 0; i < 20; ++i) {
          if (i == end_after) end_job(job_id, mod_revision);
          step();
        }
        store_.hold_answers = false;
        store_.deliver_held_answers();
        EXPECT_EQ(answers, 1);
        EXPECT_EQ(out.status, 200) << out.body;
        const std::string final = final_state(job_id);
        if (what == Ask::cancellation) {
          EXPECT_EQ(status_in(out), final) << "a cancellation has one of two ends";
        } else {
          EXPECT_EQ(final, "done");
          EXPECT_TRUE(status_in(out) == "done" || status_in(out) == "queued") << out.body;
        }
        for (JobApi* of : {admission_.get(), &other}) {
          for (const Ask again : {Ask::question, Ask::submission, Ask::cancellation, Ask::why}) {
            EXPECT_EQ(status_in(ask(again, job_id, of)), final);
          }
        }
      }
    }
  }
}

TEST_F(AdmissionTest, ACancellationThatLosesAgainstTheEndReadsAgainAndTellsDone) {
  const ModRevision mod_revision = accept_elsewhere("req-000412");
  for (int i = 0; i < 3; ++i) step();
  // The end falls between the word of the watch that the cancellation follows and its commit.
  bool ended = false;
  cache_.listen([&](RecordKind topic, const std::string&) {
    if (topic == RecordKind::guarantee_record && !ended) end_job("req-000412", mod_revision);
    ended = ended || topic == RecordKind::guarantee_record;
  });
  const std::size_t commits = store_.commits.size();
  UserAnswer out;
  out.status = 0;
  admission_->cancel("req-000412", [&out](const UserAnswer& a) { out = a; });
  step();  // the watch that was open when it came, which it can't go by
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-000412");
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  settle(out);
  EXPECT_TRUE(ended);
  EXPECT_EQ(store_.commits.size(), commits + 2) << "the end, and the cancellation that lost";
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(status_in(out), "done");
  EXPECT_EQ(final_state("req-000412"), "done");
}

// A question about a job whose record has moved between its two reads, in the order in which they
// are sent: first the job, then its end. The other way round would make it unknown.
TEST_F(AdmissionTest, AJobThatEndsBetweenTheTwoReadsOfAQuestionIsNeverUnknown) {
  const ModRevision mod_revision = accept_elsewhere("req-000412");
  store_.hold_answers = true;
  UserAnswer out;
  out.status = 0;
  admission_->status("req-000412", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000412", mod_revision);
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  // And one that is accepted and ends between them.
  store_.hold_answers = true;
  out.status = 0;
  admission_->status("req-000413", [&out](const UserAnswer& a) { out = a; });
  end_job("req-000413", accept_elsewhere("req-000413"));
  store_.hold_answers = false;
  store_.deliver_held_answers();
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(status_in(out), "done");
}

// The answer to a commit can be held up while the watch tells the commit and what became of its
// record afterwards: it must not bring back into the copy what has been deleted.
TEST_F(AdmissionTest, AnAnswerThatComesLateBringsNoJobBackIntoTheCopy) {
  store_.hold_answers = true;
  admission_->submit(kJob, [](const UserAnswer&) {});
  store_.hold_answers = false;
  end_job("req-000412", store_.get(keys::job(JobId("req-000412")))->mod_revision);
  for (int i = 0; i < 3; ++i) {
    clock_.advance(Duration{50});
    store_.deliver_watch_events();
  }
  store_.deliver_held_answers();
  EXPECT_FALSE(cache_.records().jobs.contains(JobId("req-000412")));
  EXPECT_EQ(status_in(query("req-000412")), "done");
}

// A state service that answers slowly costs the user a 503 while he still listens, 2 s for a
// question and 5 s for the others; what comes later is not told any more, but serves the next.
TEST_F(AdmissionTest, ASlowStateServiceCostsA503InTime) {
  int number = 0;
  for (const Ask what : {Ask::question, Ask::submission, Ask::cancellation, Ask::why}) {
    const Duration patience{what == Ask::question || what == Ask::why ? 2000 : 5000};
    for (const bool ended : {false, true}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id + ": request " + std::to_string(static_cast<int>(what)));
      const ModRevision mod_revision = accept_elsewhere(job_id);
      if (ended) end_job(job_id, mod_revision);
      store_.hold_answers = true;
      std::vector<UserAnswer> answers;
      const auto take = [&](const UserAnswer& a) { answers.push_back(a); };
      ask(what, job_id, take);
      clock_.advance(scaled(patience, 0.5));
      EXPECT_TRUE(answers.empty()) << "there is time left";
      clock_.advance(scaled(patience, 0.45));
      ASSERT_EQ(answers.size(), 1U);
      EXPECT_EQ(answers.front().status, 503);
      EXPECT_GT(answers.front().retry_after, std::chrono::seconds{0});
      store_.hold_answers = false;
      store_.deliver_held_answers();
      EXPECT_EQ(answers.size(), 1U);
      EXPECT_EQ(ask(what, job_id).status, 200);
    }
  }
}

// Every answer takes longer than a question's time: the read goes on when its user has gone, and
// what it finds of a job that has ended is told at once to the next that asks.
TEST_F(AdmissionTest, AQuestionThatCameTooEarlyIsOfUseToTheNext) {
  end_job("req-000412", accept_elsewhere("req-000412"));
  store_.hold_answers = true;
  int status = 0;
  admission_->status("req-000412", [&status](const UserAnswer& a) { status = a.status; });
  clock_.advance(Duration{2000});
  EXPECT_EQ(status, 503);
  store_.deliver_held_answers();
  admission_->status("req-000412", [&status](const UserAnswer& a) { status = a.status; });
  EXPECT_EQ(status, 200);
}

// What became of a cancellation's commit is read back before anything is told, whatever happened to
// the commit, and whether this controller had the job in its copy.
TEST_F(AdmissionTest, ACancellationIsToldOnlyOnceItIsKnown) {
  struct Case {
    std::deque<Script> scripts;
    int status;
  };
  const std::vector<Case> cases{
      {{Script::drop_answer}, 200},
      {{Script::drop_request}, 200},
      {{Script::delay}, 200},
      {{Script::drop_request, Script::delay, Script::drop_answer}, 200},
      {{Script::refuse}, 503},
      {{Script::drop_request, Script::drop_request, Script::drop_request}, 503},
      {{Script::delay, Script::delay, Script::delay}, 503},
  };
  int number = 0;
  for (const Case& c : cases) {
    for (const bool known : {true, false}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id);
      accept_elsewhere(job_id);
      if (known) {
        for (int i = 0; i < 3; ++i) step();
      }
      const auto cancelled = [&] {
        json::Document doc;
        JobRecord record;
        const auto entry = store_.get(keys::job(JobId(job_id)));
        return entry && json::parse(doc, entry->value) && decode(doc, record) && record.cancelled;
      };
      store_.scripts = c.scripts;
      UserAnswer out;
      out.status = 0;
      admission_->cancel(job_id, [&](const UserAnswer& a) {
        out = a;
        EXPECT_EQ(a.status == 200, cancelled()) << "told before it was so, or not told";
      });
      settle(out);
      EXPECT_EQ(out.status, c.status);
      EXPECT_EQ(status_in(out), c.status == 200 ? "cancelled" : "");
      EXPECT_TRUE(store_.scripts.empty());
      // What was told stays, when late commits arrive as well.
      while (!store_.delayed.empty()) {
        const Outcome expected = cancelled() ? Outcome::conflict : Outcome::done;
        EXPECT_EQ(store_.apply_delayed().outcome, expected);
      }
      EXPECT_EQ(status_in(ask(Ask::question, job_id)), cancelled() ? "cancelled" : "queued");
    }
  }
}

// A late commit of this controller comes after newer ones. A job's record is deleted when it ends,
// so that a revision of 0 holds for it again: the record of its end, which is never deleted, stands
// in the way of a submission; a cancellation names the revision of what it changes.
TEST_F(AdmissionTest, WhatIsCarriedOutLateChangesNothingThatWasToldSince) {
  for (const bool cancelled : {false, true}) {
    const std::string job_id = cancelled ? "req-1" : "req-2";
    store_.scripts = {Script::delay};
    EXPECT_EQ(ask(Ask::submission, job_id).status, 201) << "by the second commit";
    const ModRevision mod_revision = store_.get(keys::job(JobId(job_id)))->mod_revision;
    store_.scripts = {Script::delay, Script::delay, Script::delay};
    EXPECT_EQ(ask(Ask::cancellation, job_id).status, 503);
    if (cancelled) {
      EXPECT_EQ(status_in(ask(Ask::cancellation, job_id)), "cancelled");
    }
    // The submission comes late once while the job is there, and the rest when it has ended.
    ASSERT_EQ(store_.delayed.size(), 4U);
    const Transaction submission = store_.delayed.front();
    EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
    end_job(job_id, mod_revision);
    const std::string final = cancelled ? "cancelled" : "done";
    EXPECT_EQ(final_state(job_id), final);
    store_.delayed.push_back(submission);
    while (!store_.delayed.empty()) EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
    EXPECT_FALSE(store_.get(keys::job(JobId(job_id))));
    EXPECT_EQ(final_state(job_id), final);
    for (const Ask what : {Ask::question, Ask::submission, Ask::cancellation, Ask::why}) {
      EXPECT_EQ(status_in(ask(what, job_id)), final);
    }
  }
}

// The submission's commit finds by itself that the job is known, when this controller's copy does
// not have it: accepted elsewhere a moment ago, or over for long.
TEST_F(AdmissionTest, ASubmissionThatFindsItsJobKnownTellsItsState) {
  for (const Script script : {Script::normal, Script::drop_request}) {
    const std::string job_id = "req-" + std::to_string(static_cast<int>(script));
    const ModRevision mod_revision = accept_elsewhere(job_id);
    store_.scripts = {script};
    EXPECT_EQ(status_in(ask(Ask::submission, job_id)), "queued");
    end_job(job_id, mod_revision);
    for (int i = 0; i < 3; ++i) step();
    store_.scripts = {script};
    const auto answer = ask(Ask::submission, job_id);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(status_in(answer), "done");
    EXPECT_TRUE(store_.scripts.empty());
  }
}

// Peers vouch for one another by what they list: whatever tells a user "cancelled" lists it first.
TEST_F(AdmissionTest, WhateverTellsACancellationHasListedIt) {
  const auto listed = [&](const std::string& job_id) {
    const auto list = cancellations_.list();
    return std::any_of(list.items.begin(), list.items.end(),
                       [&](const auto& item) { return item.job_id == job_id; });
  };
  int number = 0;
  for (const Ask what : {Ask::question, Ask::submission, Ask::cancellation, Ask::why}) {
    for (const bool known : {true, false}) {
      const std::string job_id = "req-" + std::to_string(++number);
      SCOPED_TRACE(job_id + ": request " + std::to_string(static_cast<int>(what)));
      accept_elsewhere(job_id, clock_.wall());  // cancelled there, too
      if (known) {
        for (int i = 0; i < 3; ++i) step();
      }
      clock_.advance(Duration{60'000});
      EXPECT_EQ(listed(job_id), known);
      UserAnswer out;
      out.status = 0;
      ask(what, job_id, [&](const UserAnswer& a) {
        out = a;
        EXPECT_TRUE(listed(job_id));
      });
      settle(out);
      EXPECT_EQ(status_in(out), "cancelled");
    }
  }
}

// A cancellation whose commit got no answer is not told, nor listed, until it is read back.
TEST_F(AdmissionTest, ACancellationOfUnknownOutcomeIsNeitherToldNorListed) {
  accept_elsewhere("req-000412");
  for (int i = 0; i < 3; ++i) step();
  store_.scripts = {Script::delay, Script::delay, Script::delay};
  EXPECT_EQ(ask(Ask::cancellation, "req-000412").status, 503);
  EXPECT_TRUE(cancellations_.list().items.empty());
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::done);
  EXPECT_EQ(status_in(ask(Ask::question, "req-000412")), "cancelled");
  EXPECT_EQ(cancellations_.list().items.size(), 1U);
}

// Nothing that keeps a new job out keeps the user of a known one from its state.
TEST_F(AdmissionTest, ARepeatedSubmissionIsAnsweredWhateverKeepsNewJobsOut) {
  EXPECT_EQ(submit(kJob).status, 201);
  store_.scripts = {Script::refuse};  // no writes now
  EXPECT_EQ(submit(kJob).status, 200);
  EXPECT_EQ(submit(changed("req-000412", "req-000413")).status, 503);
  settings_.tuning.max_open_jobs = 1;
  EXPECT_EQ(submit(changed("req-000412", "req-000413")).status, 503);
  EXPECT_EQ(submit(kJob).status, 200);
  finish(FinalState::done);
  const auto answer = submit(kJob);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(status_in(answer), "done");
}

// On each path that an answer takes: once an outage is over, the first request is answered, though
// all were asked about again and again in vain.
TEST_F(AdmissionTest, AfterAnOutageTheFirstRequestOnEachPathIsAnswered) {
  const std::map<std::string, std::string> expected{
      {"req-1", "queued"},     // in the copy
      {"req-2", "done"},       // in the copy, and has ended since
      {"req-3", "queued"},     // accepted elsewhere, not yet in the copy
      {"req-4", "done"},       // ended, and nobody has asked
      {"req-5", "done"},       // ended, and remembered
      {"req-6", "cancelled"},  // cancelled, and not yet ended
      {"req-7", "cancelled"},  // the same, not yet in the copy
  };
  accept_elsewhere("req-1");
  const ModRevision ending = accept_elsewhere("req-2");
  end_job("req-4", accept_elsewhere("req-4"));
  end_job("req-5", accept_elsewhere("req-5"));
  accept_elsewhere("req-6", clock_.wall());
  for (int i = 0; i < 3; ++i) step();
  EXPECT_EQ(status_in(query("req-5")), "done");
  end_job("req-2", ending);
  accept_elsewhere("req-3");
  accept_elsewhere("req-7", clock_.wall());
  store_.unavailable = true;
  store_.scripts.assign(1000, Script::refuse);
  const std::vector<Ask> asks{Ask::question, Ask::why, Ask::submission, Ask::cancellation};
  for (int poll = 0; poll < 20; ++poll) {
    std::vector<UserAnswer> answers;
    for (const auto& [job_id, state] : expected) {
      for (const Ask what : asks) {
        ask(what, job_id, [&answers](const UserAnswer& a) { answers.push_back(a); });
      }
    }
    clock_.advance(Duration{5000});
    ASSERT_EQ(answers.size(), expected.size() * asks.size());
    for (const auto& a : answers) EXPECT_TRUE(a.status == 503 || status_in(a) == "done") << a.body;
  }
  store_.unavailable = false;
  store_.scripts.clear();
  for (const auto& [job_id, state] : expected) {
    SCOPED_TRACE(job_id);
    for (const Ask what : asks) {
      const auto answer = ask(what, job_id);
      EXPECT_EQ(answer.status, 200);
      const bool ends = what == Ask::cancellation && state == "queued";
      EXPECT_EQ(status_in(answer), ends ? "cancelled" : state);
    }
  }
}

}  // namespace
}  // namespace marblevale
