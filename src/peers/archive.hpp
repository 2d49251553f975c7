/// Serialization of the messages between controllers: cereal's portable binary archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <optional>
#include <sstream>
#include <string>

namespace marblevale {

/// A longer message is not parsed, which bounds the memory that one request of a peer can use.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{32} * 1024;

template <typename Message>
std::string to_bytes(const Message& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return out.str();
}

/// Returns no value for bytes that are not a valid `Message`.
template <typename Message>
std::optional<Message> from_bytes(const std::string& bytes) {
  if (bytes.size() > kMaxMessageBytes) return std::nullopt;
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // A corrupt length field makes cereal throw or the allocation fail.
    return std::nullopt;
  }
}

}  // namespace marblevale
