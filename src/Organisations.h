/** \file
 * Defines the organisations of a configuration, and the lookup of a client's organisation by its key.
 */
#pragma once

#include "Ids.h"
#include "KeyDigest.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace Figward {

/** Rate limit of an organisation, over all VMs together. */
struct OrganisationLimits
{
    double perSecond_ = 0; ///< Sustained operations per second; zero means unlimited.
    double burst_ = 0; ///< Operations allowed at once beyond the sustained rate.
    bool operator==(const OrganisationLimits &) const = default;
};

/** All organisations of one configuration. */
struct Organisations
{
    std::map<OrganisationId, OrganisationLimits> limits_;
    absl::flat_hash_map<KeyDigest, OrganisationId> keys_; ///< The organisation of each key.
};

/** The organisation to which \p key belongs; null if the key is absent or unknown. */
const OrganisationId *organisationOfKey(const Organisations &organisations, const std::optional<KeyDigest> &key);

/** The organisation on whose behalf a client's statements run. */
struct Caller
{
    bool admitted_ = false; ///< If false, the client has no known key and must be refused.
    OrganisationId organisation_; ///< Empty if the configuration defines no organisations, or if the database is public and the client has no known key.
};

/**
 * Identifies the client that presented \p key. A known key is used for public databases as well, so that the organisation's quota covers all its
 * statements. If \p organisations is null, the configuration defines no organisations and every client is admitted.
 */
Caller identifyCaller(const Organisations *organisations, bool isPublic, const std::optional<KeyDigest> &key);

} // namespace Figward
