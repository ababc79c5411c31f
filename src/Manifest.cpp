#include "Manifest.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <xxhash.h>

namespace json = boost::json;

namespace Figward {

namespace {

/** Content hashes of the parts by part name. */
using PartIndex = std::map<std::string, std::string>;

PartIndex indexOf(const Manifest &manifest)
{
    PartIndex index;
    for (const ManifestPart &part : manifest.parts_) {
        index[part.name_] = part.hash_;
    }
    return index;
}

json::object encodeHeader(const Manifest &manifest)
{
    json::array earlier;
    for (const AttemptId attempt : manifest.earlierAttempts_) {
        earlier.emplace_back(attempt.value());
    }
    return {{"version", manifest.version_.value()}, {"attempt", manifest.attempt_.value()}, {"earlierAttempts", std::move(earlier)}};
}

json::array encodeParts(const std::vector<ManifestPart> &parts)
{
    json::array encoded;
    for (const ManifestPart &part : parts) {
        encoded.push_back(json::object{{"name", part.name_}, {"hash", part.hash_}});
    }
    return encoded;
}

std::string stringOf(const json::value &value)
{
    const json::string &text = value.as_string();
    return {text.data(), text.size()};
}

void decodeParts(const json::object &object, PartIndex &index)
{
    for (const json::value &part : object.at("parts").as_array()) {
        index[stringOf(part.at("name"))] = stringOf(part.at("hash"));
    }
    if (const json::value *removed = object.if_contains("removed")) {
        for (const json::value &name : removed->as_array()) {
            index.erase(stringOf(name));
        }
    }
}

/** Throws the exceptions of Boost.JSON if a field is missing or has the wrong type. */
Manifest decodeObject(const json::object &object, PartIndex index)
{
    Manifest manifest;
    manifest.version_ = ConfigVersion(object.at("version").to_number<std::uint64_t>());
    manifest.attempt_ = AttemptId(object.at("attempt").to_number<std::uint64_t>());
    for (const json::value &attempt : object.at("earlierAttempts").as_array()) {
        manifest.earlierAttempts_.emplace_back(attempt.to_number<std::uint64_t>());
    }
    decodeParts(object, index);
    for (auto &[name, hash] : index) {
        manifest.parts_.push_back({name, hash});
    }
    return manifest;
}

} // namespace

std::string manifestPath()
{
    return "figward/configuration/manifest";
}

std::string partPath(std::string_view hash)
{
    return "figward/configuration/parts/" + std::string(hash);
}

std::string contentHash(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned digitBits = 4;
    constexpr unsigned wordBits = 64;
    std::string hex;
    for (const std::uint64_t word : std::array{hash.high64, hash.low64}) {
        for (unsigned shift = wordBits; shift > 0; shift -= digitBits) {
            hex.push_back(digits[(word >> (shift - digitBits)) % digits.size()]);
        }
    }
    return hex;
}

std::string encodeManifest(const Manifest &manifest)
{
    json::object object = encodeHeader(manifest);
    object["parts"] = encodeParts(manifest.parts_);
    return json::serialize(object);
}

std::string encodeManifestSince(const Manifest &manifest, const Manifest &base)
{
    const PartIndex before = indexOf(base);
    const PartIndex after = indexOf(manifest);
    std::vector<ManifestPart> changed;
    std::ranges::copy_if(manifest.parts_, std::back_inserter(changed), [&](const ManifestPart &part) {
        const auto old = before.find(part.name_);
        return old == before.end() || old->second != part.hash_;
    });
    json::array removed;
    for (const auto &[name, hash] : before) {
        if (!after.contains(name)) {
            removed.emplace_back(name);
        }
    }
    json::object object = encodeHeader(manifest);
    object["base"] = base.version_.value();
    object["parts"] = encodeParts(changed);
    object["removed"] = std::move(removed);
    return json::serialize(object);
}

absl::StatusOr<Manifest> decodeManifest(std::string_view text, const Manifest &base)
{
    try {
        const json::value value = json::parse({text.data(), text.size()});
        const json::object &object = value.as_object();
        const json::value *since = object.if_contains("base");
        if (since == nullptr) {
            return decodeObject(object, {});
        }
        if (since->to_number<std::uint64_t>() != base.version_.value()) {
            return absl::FailedPreconditionError("the manifest describes a change from another version");
        }
        return decodeObject(object, indexOf(base));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace Figward
