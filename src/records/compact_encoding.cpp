#include "records/compact_encoding.hpp"

#include <algorithm>
#include <cereal/external/base64.hpp>
#include <charconv>

namespace marblevale {

namespace {

constexpr unsigned kPayloadBits = 7;
constexpr std::uint64_t kPayloadMask = 0x7F;
constexpr std::uint64_t kContinuationBit = 0x80;
constexpr unsigned kMaxShift = 63;
/// The largest accepted time. The unit is a millisecond or more, so this is at least 278 years.
constexpr std::uint64_t kMaxTimeUnits = std::uint64_t{1} << 43;
/// Names that end in more digits than this are stored as text.
constexpr std::size_t kMaxNameDigits = 15;

std::size_t prefix_length(const std::string& name) {
  const auto last = name.find_last_not_of("0123456789");
  return last == std::string::npos ? 0 : last + 1;
}

}  // namespace

void ByteWriter::put(std::uint64_t number) {
  while (number > kPayloadMask) {
    bytes_.push_back(static_cast<char>((number & kPayloadMask) | kContinuationBit));
    number >>= kPayloadBits;
  }
  bytes_.push_back(static_cast<char>(number));
}

void ByteWriter::put_signed(std::int64_t number) {
  const auto bits = static_cast<std::uint64_t>(number);
  const std::uint64_t sign = number < 0 ? ~std::uint64_t{0} : 0;
  put((bits << 1) ^ sign);
}

std::string ByteWriter::base64() const {
  // The library takes unsigned bytes.
  const auto* bytes = reinterpret_cast<const unsigned char*>(bytes_.data());
  return cereal::base64::encode(bytes, bytes_.size());
}

ByteReader::ByteReader(const std::string& base64) : bytes_(cereal::base64::decode(base64)) {}

std::uint64_t ByteReader::number() {
  std::uint64_t out = 0;
  for (unsigned shift = 0; ok_ && shift <= kMaxShift; shift += kPayloadBits) {
    if (position_ >= bytes_.size()) break;
    const auto byte = static_cast<unsigned char>(bytes_[position_++]);
    out |= (byte & kPayloadMask) << shift;
    if ((byte & kContinuationBit) == 0) return out;
  }
  ok_ = false;
  return 0;
}

std::int64_t ByteReader::signed_number() {
  const std::uint64_t bits = number();
  const std::uint64_t sign = (bits & 1) != 0 ? ~std::uint64_t{0} : 0;
  return static_cast<std::int64_t>((bits >> 1) ^ sign);
}

std::uint64_t ByteReader::time() {
  const std::uint64_t out = number();
  if (out <= kMaxTimeUnits) return out;
  ok_ = false;
  return 0;
}

std::int64_t ByteReader::signed_time() {
  const std::int64_t out = signed_number();
  constexpr auto kLimit = static_cast<std::int64_t>(kMaxTimeUnits);
  if (out <= kLimit && out >= -kLimit) return out;
  ok_ = false;
  return 0;
}

MachineNames::MachineNames(std::string prefix, std::uint64_t digits,
                           std::vector<std::string> others)
    : prefix_(std::move(prefix)), digits_(digits), others_(std::move(others)) {}

std::string MachineNames::numbered_name(std::uint64_t number) const {
  const std::string text = std::to_string(number);
  const std::size_t zeros = digits_ > text.size() ? digits_ - text.size() : 0;
  return prefix_ + std::string(zeros, '0') + text;
}

// Odd numbers stand for names with the prefix, even numbers for the other names.
std::uint64_t MachineNames::number_of(const std::string& name) {
  if (name.empty()) return 0;
  const std::size_t length = prefix_length(name);
  const std::size_t digits = name.size() - length;
  if (digits_ == 0 && digits > 0 && digits <= kMaxNameDigits) {
    prefix_ = name.substr(0, length);
    digits_ = digits;
  }
  std::uint64_t number = 0;
  const bool numbered = digits > 0 && digits <= kMaxNameDigits;
  if (numbered) std::from_chars(name.data() + length, name.data() + name.size(), number);
  if (numbered && numbered_name(number) == name) return number * 2 + 1;
  const auto known = std::find(others_.begin(), others_.end(), name);
  const auto index = static_cast<std::uint64_t>(known - others_.begin());
  if (known == others_.end()) others_.push_back(name);
  return (index + 1) * 2;
}

std::optional<std::string> MachineNames::name_of(std::uint64_t number) const {
  if (number == 0) return "";
  if (number % 2 == 1) {
    if (digits_ == 0 || digits_ > kMaxNameDigits) return std::nullopt;
    return numbered_name(number / 2);
  }
  const std::uint64_t index = number / 2 - 1;
  if (index >= others_.size()) return std::nullopt;
  return others_[index];
}

}  // namespace marblevale
