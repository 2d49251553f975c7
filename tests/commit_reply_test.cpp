// Parsing of replies to commits, both valid and malformed.
#include <gtest/gtest.h>

#include "store/store_protocol.hpp"

namespace marblevale {
namespace {

CommitResult parse(int status, const std::string& body) {
  return parse_commit_reply(HttpReply::answer(status, body));
}

TEST(CommitReply, ADefiniteReplyHasItsRevision) {
  const CommitResult done = parse(200, R"({"ledger_rev":432})");
  EXPECT_EQ(done.outcome, Outcome::done);
  EXPECT_EQ(done.revision, Revision(432));
  const CommitResult conflict = parse(409, R"({"failed":["a/b"],"ledger_rev":431})");
  EXPECT_EQ(conflict.outcome, Outcome::conflict);
  EXPECT_EQ(conflict.revision, Revision(431));
  EXPECT_EQ(conflict.failed, std::vector<std::string>{"a/b"});
}

// A caller that waits until the records reach the reply's revision would not wait at all if a
// missing revision were parsed as 0.
TEST(CommitReply, AReplyWithoutARevisionHasAnUnknownOutcome) {
  for (const int status : {200, 409}) {
    for (const std::string body : {"", "nonsense", "{}", R"({"ledger_rev":null})"}) {
      EXPECT_EQ(parse(status, body).outcome, Outcome::unknown) << status << " " << body;
    }
  }
}

TEST(CommitReply, OnlyARequestThatWasNotExecutedIsRefused) {
  EXPECT_EQ(parse_commit_reply(HttpReply::never_sent()).outcome, Outcome::refused)
      << "it was never sent";
  EXPECT_EQ(parse_commit_reply(HttpReply::no_answer()).outcome, Outcome::unknown) << "no response";
  EXPECT_EQ(parse(429, "").outcome, Outcome::refused);
  EXPECT_EQ(parse(503, "").outcome, Outcome::refused);
  EXPECT_EQ(parse(500, "").outcome, Outcome::unknown);
  EXPECT_EQ(parse(400, R"({"error":"no such lease"})").outcome, Outcome::lease_expired);
}

}  // namespace
}  // namespace marblevale
