// Messages between controllers as bytes, by cereal.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <optional>
#include <sstream>
#include <string>

namespace marblevale {

inline constexpr std::size_t kMaxMessage = std::size_t{32} * 1024;

template <typename Message>
std::string to_bytes(const Message& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return out.str();
}

/// Nothing for what can't be read.
template <typename Message>
std::optional<Message> from_bytes(const std::string& bytes) {
  if (bytes.size() > kMaxMessage) return std::nullopt;
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // A length that lies makes cereal throw or the allocation fail; either way it is refused.
    return std::nullopt;
  }
}

}  // namespace marblevale
