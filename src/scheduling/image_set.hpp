// The images that a machine holds, as placement asks for them: for every machine of a cluster,
// again and again.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/ids.hpp"

namespace marblevale {

/// An image's hash. Two images with one key would only distort an estimate of a fetch.
using ImageKey = StrongType<struct ImageKeyTag, std::uint64_t>;

inline ImageKey key_of(const ImageId& image) { return ImageKey(std::hash<ImageId>{}(image)); }

/// A small set, by key.
class ImageSet {
 public:
  void insert(const ImageId& image) {
    const ImageKey key = key_of(image);
    const auto place = std::lower_bound(keys_.begin(), keys_.end(), key);
    if (place == keys_.end() || *place != key) keys_.insert(place, key);
  }
  [[nodiscard]] bool contains(ImageKey key) const {
    return std::binary_search(keys_.begin(), keys_.end(), key);
  }
  [[nodiscard]] bool contains(const ImageId& image) const { return contains(key_of(image)); }
  bool operator==(const ImageSet&) const = default;

 private:
  std::vector<ImageKey> keys_;  // sorted
};

}  // namespace marblevale
