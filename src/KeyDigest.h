/** \file
 * Defines the digest that stands for a client's key everywhere but on the client's own connection.
 *
 * The key itself is a secret: it is turned into its digest where it is read, so that no log line, metric, error text, member or other VM can show it.
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

    /** For absl's hash tables. */
    template<typename Hash>
    friend Hash AbslHashValue(Hash hash, const KeyDigest &digest)
    {
        return Hash::combine(std::move(hash), digest.bytes_);
    }
};

/** The digest of \p key. */
KeyDigest digestOf(std::string_view key);
/** 64 hexadecimal digits. */
std::string toHex(const KeyDigest &digest);
/** Reads what toHex() writes; nothing if \p text is anything else. */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

} // namespace Figward
