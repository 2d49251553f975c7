// Parses the keys of live records into a kind and a name.
#pragma once

#include <optional>
#include <string>

#include "records/record_set.hpp"

namespace marblevale {

/// The kinds of live records. `machine` stands for a page of machine records.
enum class RecordKind {
  leader,
  types,
  node,
  shard,
  job,
  guarantee_record,
  slice,
  machine,
  provisioning_request
};

struct RecordKey {
  RecordKind kind;
  std::string name;  // the key without the prefix of its kind
};

/// Returns no value for a key of an unknown kind.
[[nodiscard]] std::optional<RecordKey> parse_record_key(const std::string& key);

/// Parses the name of a slice's key; returns no value for a malformed name.
[[nodiscard]] std::optional<SliceKey> parse_slice_name(const std::string& name);

}  // namespace marblevale
