#include "Organisations.h"

namespace Figward {

const OrganisationId *organisationOfKey(const Organisations &organisations, const std::optional<KeyDigest> &key)
{
    if (!key) {
        return nullptr;
    }
    const auto found = organisations.keys_.find(*key);
    return found == organisations.keys_.end() ? nullptr : &found->second;
}

Caller identifyCaller(const Organisations *organisations, bool isPublic, const std::optional<KeyDigest> &key)
{
    if (organisations == nullptr) {
        return {true, {}};
    }
    if (const OrganisationId *holder = organisationOfKey(*organisations, key)) {
        return {true, *holder};
    }
    return {isPublic, {}};
}

} // namespace Figward
