// Functions with which the record codecs read and write the fields of stored records.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "core/time.hpp"
#include "protocol/json.hpp"
#include "records/compact_encoding.hpp"

namespace marblevale::record_fields {

/// The format number of record types whose format has never changed.
inline constexpr std::uint64_t kFormat = 1;

inline bool known_format(const json::Value& v) { return json::count(v, "v") == kFormat; }

/// Reads a string or an unsigned integer into its strong type. Returns false when the field is
/// absent or of another type.
template <typename S>
bool read(const json::Value& v, const char* name, S& out) {
  if constexpr (std::is_same_v<std::decay_t<decltype(out.get())>, std::string>) {
    const auto text = json::text(v, name);
    if (text) out = S(*text);
    return text.has_value();
  } else {
    const auto n = json::count(v, name);
    if (n) out = S(*n);
    return n.has_value();
  }
}

/// Reads a Unix time in milliseconds.
inline bool read(const json::Value& v, const char* name, WallTime& out) {
  const auto ms = json::integer(v, name);
  if (ms) out = from_unix_milliseconds(*ms);
  return ms.has_value();
}

/// Appends the items of a list of strings to `out`. Returns false when the field is no such list.
inline bool read_texts(const json::Value& v, const char* name, std::vector<std::string>& out) {
  const json::Value* list = json::list(v, name);
  if (list == nullptr) return false;
  for (const auto& item : list->GetArray()) {
    if (!item.IsString()) return false;
    out.emplace_back(item.GetString());
  }
  return true;
}

inline void write_texts(json::Writer& out, const char* name,
                        const std::vector<std::string>& texts) {
  out.key(name).open_list();
  for (const std::string& text : texts) out.value(text);
  out.close_list();
}

/// Returns the index of `item` in `list`. Appends the item first if the list does not contain it.
template <typename Item>
std::uint64_t index_or_append(std::vector<Item>& list, const Item& item) {
  const auto it = std::find(list.begin(), list.end(), item);
  const auto index = static_cast<std::uint64_t>(it - list.begin());
  if (it == list.end()) list.push_back(item);
  return index;
}

/// Writes the machine names of a compact record in the form that `read_names` reads.
inline void write_names(json::Writer& out, const MachineNames& names) {
  out.put("host", names.prefix()).put("digits", names.digits());
  write_texts(out, "hosts", names.others());
}

inline bool read_names(const json::Value& v, MachineNames& out) {
  const auto prefix = json::text(v, "host");
  const auto digits = json::count(v, "digits");
  std::vector<std::string> others;
  if (!prefix || !digits || !read_texts(v, "hosts", others)) return false;
  out = MachineNames(*prefix, *digits, std::move(others));
  return true;
}

}  // namespace marblevale::record_fields
