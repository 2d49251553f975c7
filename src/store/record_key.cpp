#include "store/record_key.hpp"

#include <array>
#include <charconv>
#include <string_view>

namespace marblevale {

namespace {

struct KindPrefix {
  std::string_view prefix;
  RecordKind kind;
};

constexpr std::array<KindPrefix, 7> kPrefixes{{
    {"mv/nodes/", RecordKind::node},
    {"mv/blocks/", RecordKind::shard},
    {"mv/jobs/", RecordKind::job},
    {"mv/grants/", RecordKind::guarantee_record},
    {"mv/slices/", RecordKind::slice},
    {"mv/machines/", RecordKind::machine},
    {"mv/hires/", RecordKind::provisioning_request},
}};

}  // namespace

std::optional<RecordKey> parse_record_key(const std::string& key) {
  if (key == keys::kLeader) return RecordKey{RecordKind::leader, ""};
  if (key == keys::kTypes) return RecordKey{RecordKind::types, ""};
  for (const auto& [prefix, kind] : kPrefixes) {
    if (key.compare(0, prefix.size(), prefix) == 0) {
      return RecordKey{kind, key.substr(prefix.size())};
    }
  }
  return std::nullopt;
}

std::optional<SliceKey> parse_slice_name(const std::string& name) {
  const auto slash = name.find('/');
  if (slash == std::string::npos) return std::nullopt;
  std::uint32_t number = 0;
  const char* end = name.data() + name.size();
  if (std::from_chars(name.data() + slash + 1, end, number).ptr != end) return std::nullopt;
  return SliceKey{JobId(name.substr(0, slash)), number};
}

}  // namespace marblevale
