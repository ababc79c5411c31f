#include "KeyDigest.h"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>
#include <algorithm>
#include <cctype>
#include <openssl/sha.h>

namespace Figward {

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest;
    static_assert(sizeof(digest.bytes_) == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes_.data());
    return digest;
}

std::string toHex(const KeyDigest &digest)
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.bytes_.data()), digest.bytes_.size()));
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    KeyDigest digest;
    const auto isHex = [](unsigned char letter) { return std::isxdigit(letter) != 0; };
    if (text.size() != 2 * digest.bytes_.size() || !std::ranges::all_of(text, isHex)) {
        return std::nullopt;
    }
    const std::string bytes = absl::HexStringToBytes(absl::string_view(text.data(), text.size()));
    std::ranges::copy(bytes, digest.bytes_.begin());
    return digest;
}

} // namespace Figward
