/** \file
 * Defines the organisations of a configuration, and which of them a client's statement runs for.
 */
#pragma once

#include "Ids.h"
#include "KeyDigest.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace Figward {

/** What an organisation may ask of all VMs together. */
struct OrganisationLimits
{
    double perSecond_ = 0; ///< Operations a second in the long run; zero: any number.
    double burst_ = 0; ///< Operations beyond that at once.
    bool operator==(const OrganisationLimits &) const = default;
};

/** All organisations of one configuration. */
struct Organisations
{
    std::map<OrganisationId, OrganisationLimits> limits_;
    absl::flat_hash_map<KeyDigest, OrganisationId> keys_; ///< Who holds a key.
};

/** The organisation that holds the key; null if none does, or if there is no key. */
const OrganisationId *holderOf(const Organisations &organisations, const std::optional<KeyDigest> &key);

/** For whom a client's statement runs. */
struct Caller
{
    bool admitted_ = false; ///< Otherwise the client must be refused: it is not known.
    OrganisationId organisation_; ///< Empty: none; the configuration knows no organisations, or the database is public and the client has no key that is known.
};

/**
 * Who a client with \p key is. A key that is known counts at public databases, too, so that the organisation's quota covers all that it asks.
 * \p organisations is null where the configuration has none: everybody is admitted.
 */
Caller identifyCaller(const Organisations *organisations, bool isPublic, const std::optional<KeyDigest> &key);

} // namespace Figward
