/** \file
 * Defines the digest that represents a client's key everywhere except on the client's own connection.
 *
 * The key itself is a secret. It is hashed as soon as it is read, so that it cannot appear in a log line, a metric or an error message, nor reach a member or
 * another VM.
 */
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Figward {

/** SHA-256 of a key. */
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes_{};
    auto operator<=>(const KeyDigest &) const = default;

    /** Makes the digest usable as a key of absl's hash tables. */
    template<typename Hash>
    friend Hash AbslHashValue(Hash hash, const KeyDigest &digest)
    {
        return Hash::combine(std::move(hash), digest.bytes_);
    }
};

/** Computes the digest of \p key. */
KeyDigest digestOf(std::string_view key);
/** Formats \p digest as 64 hexadecimal digits. */
std::string toHex(const KeyDigest &digest);
/** Parses the output of toHex(). Returns nothing if \p text is malformed. */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

} // namespace Figward
