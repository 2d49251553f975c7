// Submissions to the users' interface: validation, idempotent retries, and commits that are
// refused, lost or delayed.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::job_body_with;
using testing::kJobBody;
using testing::Script;
using testing::UserRequest;

class JobApiSubmitTest : public testing::JobApiTest {};

TEST_F(JobApiSubmitTest, AnswersOnlyAfterTheCommit) {
  store_.hold_answers = true;
  int status = 0;
  api_->submit(kJobBody, [&](const UserAnswer& a) { status = a.status; });
  EXPECT_EQ(status, 0);
  store_.deliver_held_answers();
  EXPECT_EQ(status, 201);
  EXPECT_TRUE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(JobApiSubmitTest, ARefusedCommitIs503WithRetryAfter) {
  store_.scripts = {Script::refuse};
  const auto answer = submit(kJobBody);
  EXPECT_EQ(answer.status, 503);
  EXPECT_GT(answer.retry_after, std::chrono::seconds{0});
  EXPECT_FALSE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(JobApiSubmitTest, ACommitOfUnknownOutcomeIsResolvedByARetry) {
  store_.scripts = {Script::drop_answer};
  EXPECT_EQ(submit(kJobBody).status, 200);  // the retry finds the record of the first commit
  store_.scripts = {};
  finish(FinalState::done);
  store_.scripts = {Script::drop_request};
  EXPECT_EQ(submit(kJobBody).status, 200);  // ended long ago, still known
}

TEST_F(JobApiSubmitTest, ADelayedSubmissionDoesNotRecreateAFinishedJob) {
  store_.scripts = {Script::delay};
  EXPECT_EQ(submit(kJobBody).status, 201);  // the retry was accepted
  finish(FinalState::done);
  EXPECT_EQ(store_.apply_delayed().outcome, Outcome::conflict);
  EXPECT_FALSE(store_.get(keys::job(JobId("req-000412"))));
}

TEST_F(JobApiSubmitTest, AKnownJobGets200BeforeItsBodyIsValidated) {
  EXPECT_EQ(submit(kJobBody).status, 201);
  EXPECT_EQ(submit(job_body_with("\"parts\":2", "\"parts\":0")).status, 200);
  EXPECT_EQ(submit(job_body_with("\"vision\"", "\"nobody\"")).status, 200);
  finish(FinalState::cancelled);
  const auto answer = submit(job_body_with("\"parts\":2", "\"parts\":0"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
}

// Guards against a repeated submission that is rejected for a reason that applies only to new jobs:
// it must always be answered with the job's status.
TEST_F(JobApiSubmitTest, ARepeatedSubmissionIsAnsweredWhileNewJobsAreRejected) {
  EXPECT_EQ(submit(kJobBody).status, 201);
  store_.scripts = {Script::refuse};  // the state service refuses the next commit
  EXPECT_EQ(submit(kJobBody).status, 200);
  EXPECT_EQ(submit(job_body_with("req-000412", "req-000413")).status, 503);
  settings_.tuning.max_open_jobs = 1;
  EXPECT_EQ(submit(job_body_with("req-000412", "req-000413")).status, 503);
  EXPECT_EQ(submit(kJobBody).status, 200);
  finish(FinalState::done);
  const auto answer = submit(kJobBody);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(status_in(answer), "done");
}

// The job is known but not in this controller's cache, because a peer has just accepted it or it
// ended long ago. The submission's commit conflicts, and the job's status must be returned.
TEST_F(JobApiSubmitTest, ASubmissionThatConflictsWithAKnownJobReturnsItsState) {
  for (const Script script : {Script::normal, Script::drop_request}) {
    const std::string job_id = "req-" + std::to_string(static_cast<int>(script));
    const ModRevision mod_revision = accept_on_peer(job_id);
    store_.scripts = {script};
    EXPECT_EQ(status_in(send(UserRequest::submit, job_id)), "queued");
    end_job(job_id, mod_revision);
    update_cache();
    store_.scripts = {script};
    const auto answer = send(UserRequest::submit, job_id);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(status_in(answer), "done");
    EXPECT_TRUE(store_.scripts.empty());
  }
}

TEST_F(JobApiSubmitTest, InvalidBodiesAre400) {
  for (const std::string& body :
       {std::string("nonsense"), std::string("[1]"), std::string("{}"),
        job_body_with("req-000412", "job-000412"), job_body_with("\"parts\":2", "\"parts\":0"),
        job_body_with("\"parts\":2", "\"parts\":100001"),
        job_body_with("\"parts\":2", "\"parts\":2.5"), job_body_with("\"cpus\":8.0", "\"cpus\":-1"),
        job_body_with("\"cpus\":8.0", "\"cpus\":1e300"),
        job_body_with("\"cpus\":8.0", R"("cpus":"8")"),
        job_body_with("\"cpus\":8.0", "\"cpus\":1e999"), job_body_with("ensemble", "herd"),
        job_body_with("\"urgent\"", "\"yesterday\""), job_body_with("\"expect_s\":240.0,", ""),
        job_body_with("\"together\":true", "\"together\":1"), job_body_with("[\"g8\"]", "[8]"),
        std::string(70'000, ' ')}) {
    EXPECT_EQ(submit(body).status, 400) << body.substr(0, 120);
  }
  EXPECT_TRUE(cache_.records().jobs.empty());
}

TEST_F(JobApiSubmitTest, AFieldThatIsMissingOrOfTheWrongTypeIsNamed) {
  const std::vector<std::string> required{
      "uid",    "workclass",    "crew",      "shape",      "urgency",  "parts",
      "cpus",   "accelerators", "memory_gb", "bundle",     "image_gb", "together",
      "spread", "loaners",      "expect_s",  "snapshot_s", "stash_s"};
  const auto body_with_field = [](const std::string& name, const rapidjson::Value* value) {
    json::Document doc;
    EXPECT_TRUE(json::parse(doc, kJobBody));
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
      const UserAnswer answer = submit(body_with_field(name, value));
      EXPECT_EQ(answer.status, 400) << name;
      EXPECT_NE(answer.body.find("\"" + name + ":"), std::string::npos) << answer.body;
    }
  }
  EXPECT_TRUE(cache_.records().jobs.empty());
  // Fields that may be null may also be absent.
  for (const char* name : {"builds", "district", "due_s"}) {
    EXPECT_EQ(submit(body_with_field(name, &list)).status, 400) << name;
  }
  EXPECT_EQ(submit(body_with_field("builds", nullptr)).status, 201);
  EXPECT_EQ(submit(body_with_field("district", nullptr)).status, 200) << "the same job again";
  EXPECT_EQ(submit(body_with_field("due_s", &null)).status, 200);
}

// Guards against a job that can't be cancelled: a record larger than the announced value limit
// could never be written again.
TEST_F(JobApiSubmitTest, ASpecTooLargeForAStoredValueIs422) {
  const std::string image = std::string(120, 'i');
  std::string text = job_body_with("img-07", image);
  std::string types = "[\"g8\"";
  for (int i = 0; i < 20; ++i) types += ",\"" + std::string(90, 'g') + "\"";
  text.replace(text.find("[\"g8\"]"), 6, types + "]");
  store_.announce_limits(2048, 5);
  const UserAnswer answer = submit(text);
  EXPECT_EQ(answer.status, 422);
  EXPECT_NE(answer.body.find("too large"), std::string::npos);
  EXPECT_EQ(submit(kJobBody).status, 201);
}

TEST_F(JobApiSubmitTest, AnInfeasibleJobIs422) {
  EXPECT_EQ(submit(job_body_with("\"vision\"", "\"nobody\"")).status, 422);
  EXPECT_EQ(submit(job_body_with("\"accelerators\":1.0", "\"accelerators\":3.0")).status, 422);
  EXPECT_EQ(submit(job_body_with("\"cpus\":8.0", "\"cpus\":97.0")).status, 422);
  EXPECT_EQ(submit(job_body_with("[\"g8\"]", "[\"g9\"]")).status, 422);
  EXPECT_EQ(submit(job_body_with("\"district\":null", "\"district\":\"b\"")).status, 422);
  // An array needs room for only one task in the team's limit, because its tasks need not run at
  // the same time.
  std::string array = job_body_with("ensemble", "batch");
  array.replace(array.find("\"accelerators\":1.0"), 18, "\"accelerators\":3.0");
  EXPECT_EQ(submit(array).status, 201);
}

TEST_F(JobApiSubmitTest, AGangThatMustBeSpreadNeedsASecondZone) {
  EXPECT_EQ(submit(job_body_with("\"spread\":false", "\"spread\":true")).status, 422);
  std::string spread_job = job_body_with("\"spread\":false", "\"spread\":true");
  spread_job.replace(spread_job.find("\"together\":true"), 15, "\"together\":false");
  EXPECT_EQ(submit(spread_job).status, 422) << "there is one zone";
  spread_job.replace(spread_job.find("ensemble"), 8, "batch");
  EXPECT_EQ(submit(spread_job).status, 201) << "one half after the other";
}

/// The body of a service job, with `from` replaced by `to` unless `from` is empty.
std::string service_job_body(const std::string& from = "", const std::string& to = "") {
  std::string text = job_body_with("ensemble", "standing");
  text.replace(text.find("\"expect_s\":240.0"), 16, "\"expect_s\":0");
  if (from.empty()) return text;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST_F(JobApiSubmitTest, AServiceJobIsAcceptedQueriedAndCancelled) {
  EXPECT_EQ(submit(service_job_body()).status, 201);
  EXPECT_EQ(submit(service_job_body()).status, 200) << "known already";
  const JobRecord& job = cache_.records().jobs.at(JobId("req-000412")).record;
  EXPECT_TRUE(job.spec.is_service());
  EXPECT_FALSE(job.spec.deadline) << "it is never complete";
  EXPECT_NE(status_of("req-000412").body.find("\"queued\""), std::string::npos);
  EXPECT_EQ(submit(service_job_body("\"parts\":2", "\"parts\":9")).status, 200)
      << "a known job first";
  EXPECT_EQ(cancel("req-000412").status, 200);
  EXPECT_NE(status_of("req-000412").body.find("\"cancelled\""), std::string::npos);
}

TEST_F(JobApiSubmitTest, AnInfeasibleServiceJobIs422) {
  EXPECT_EQ(submit(service_job_body("\"parts\":2", "\"parts\":5")).status, 422)
      << "all its tasks run at once: five GPUs of four";
  EXPECT_EQ(submit(service_job_body("\"spread\":false", "\"spread\":true")).status, 422);
  EXPECT_EQ(submit(service_job_body("[\"g8\"]", "[\"g9\"]")).status, 422);
  EXPECT_EQ(submit(service_job_body("\"vision\"", "\"nobody\"")).status, 422);
}

TEST_F(JobApiSubmitTest, AnInvalidFieldOfAServiceJobIsNamed) {
  for (const char* estimate : {"-1", "\"0\"", "null", "1e999"}) {
    const UserAnswer answer =
        submit(service_job_body("\"expect_s\":0", std::string("\"expect_s\":") + estimate));
    EXPECT_EQ(answer.status, 400) << estimate;
    if (std::string(estimate) != "1e999") {
      EXPECT_NE(answer.body.find("expect_s"), std::string::npos);
    }
  }
  EXPECT_EQ(submit(service_job_body("\"spread\":false,", "")).status, 400)
      << "no field may be absent";
  EXPECT_EQ(submit(service_job_body("standing", "forever")).status, 400);
}

}  // namespace
}  // namespace marblevale
