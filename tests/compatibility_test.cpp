// This version must decode the records and messages of the version in production and encode them to
// the same bytes, so that both versions can run on the same data. The only difference is an
// additional field in a node's record, which the version in production skips.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "peers/offers.hpp"
#include "peers/peer_heartbeat.hpp"
#include "records/records.hpp"

namespace marblevale {
namespace {

struct Sample {
  std::string kind;
  std::string text;
};

std::vector<Sample> samples(const std::string& kind) {
  std::ifstream in(std::string(MARBLEVALE_TEST_DATA) + "/written_by_6ce4d3d.txt");
  std::vector<Sample> out;
  for (std::string line; std::getline(in, line);) {
    const auto space = line.find(' ');
    if (line.substr(0, space) == kind) out.push_back({kind, line.substr(space + 1)});
  }
  EXPECT_FALSE(out.empty()) << "no sample of " << kind;
  return out;
}

std::string from_hex(const std::string& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return out;
}

/// Decodes each sample of the kind and checks that encoding it again gives the same bytes.
template <typename Record, typename Encode>
void expect_same_bytes(const std::string& kind, const Encode& write) {
  for (const Sample& sample : samples(kind)) {
    json::Document doc;
    Record record;
    ASSERT_TRUE(json::parse(doc, sample.text));
    ASSERT_TRUE(decode(doc, record)) << sample.text;
    EXPECT_EQ(write(record), sample.text);
  }
}

constexpr RecordSize kBeforeLowering{8192, false};

TEST(ProductionRecords, RoundTripByteForByte) {
  const auto plain = [](const auto& record) { return encode(record); };
  const auto within = [](const auto& record) { return encode(record, 8192); };
  const auto sized = [](const auto& record) { return encode(record, kBeforeLowering); };
  expect_same_bytes<LeaderRecord>("leader", plain);
  expect_same_bytes<ShardRecord>("block", plain);
  expect_same_bytes<JobRecord>("job", plain);
  expect_same_bytes<GuaranteeRecord>("grant", within);
  expect_same_bytes<SliceRecord>("slice", sized);
  expect_same_bytes<MachinePage>("page", sized);
  expect_same_bytes<ProvisioningRequest>("rental", plain);
  expect_same_bytes<FinalRecord>("final", within);
  expect_same_bytes<std::vector<MachineType>>("types", plain);
}

TEST(ProductionRecords, ANodeWithoutAFormatVersionReadsPlainEncodingsOnly) {
  json::Document doc;
  NodeRecord node;
  const Sample sample = samples("node").front();
  ASSERT_TRUE(json::parse(doc, sample.text));
  ASSERT_TRUE(decode(doc, node));
  EXPECT_EQ(node.newest_readable_form, 1U);
  node.newest_readable_form = kNewestReadableForm;
  // The additional member is at the end, and all members that the version in production reads are
  // unchanged.
  const std::string ours = encode(node);
  EXPECT_EQ(ours, sample.text.substr(0, sample.text.size() - 1) + R"(,"reads":2})");
}

TEST(ProductionMessages, RoundTripByteForByte) {
  const std::string heartbeat = from_hex(samples("heartbeat").front().text);
  const auto decoded_heartbeat = decode_peer_heartbeat(heartbeat);
  ASSERT_TRUE(decoded_heartbeat);
  EXPECT_EQ(decoded_heartbeat->node, "hub-1");
  EXPECT_EQ(encode(*decoded_heartbeat), heartbeat);
  const std::string offer = from_hex(samples("offer").front().text);
  const auto decoded_offer = decode_offer(offer);
  ASSERT_TRUE(decoded_offer);
  EXPECT_EQ(decoded_offer->tasks.at(0).machine_id, "vm-000232");
  EXPECT_EQ(encode(*decoded_offer), offer);
}

TEST(ProductionRecords, AnUnknownFieldIsSkipped) {
  // Both versions rely on this when one of them adds a field.
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, R"({"v":1,"node":"n","nonce":1,"permit":2,"later":{"a":[1]}})"));
  NodeRecord node;
  EXPECT_TRUE(decode(doc, node));
}

}  // namespace
}  // namespace marblevale
