#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Figward::Testing {

OrganisationId SessionWorld::organisationId(unsigned organisation)
{
    return OrganisationId(absl::StrCat("org-", organisation));
}

std::string SessionWorld::keyOf(unsigned organisation)
{
    return absl::StrCat("key-", organisation);
}

void SessionWorld::recordOperation(const WorldClient &client, const ClientStatement &statement, bool begins)
{
    if (begins) {
        operations_.insert(statement.id_);
    }
    if (!client.keyName_.empty()) {
        requestingOrganisations_[statement.id_] = OrganisationId(absl::StrCat("org-", client.keyName_.substr(client.keyName_.find('-') + 1)));
    }
}

void SessionWorld::checkOrganisation(unsigned vm, const SendToMember &effect, const SessionReply &reply)
{
    const auto asked = requestingOrganisations_.find(effect.request_.id_);
    if (asked == requestingOrganisations_.end() || guaranteesNotRun(reply.code_)) {
        return;
    }
    const OrganisationId &told = vms_[vm].connectionOrganisations_.at(effect.connection_);
    if (told != asked->second) {
        reportViolation(absl::StrCat(effect.request_.id_, " of ", asked->second.value(), " ran for ", told.value()));
    }
    if (operations_.contains(effect.request_.id_)) {
        operationsRun_[asked->second].push_back(now_);
    }
}

const std::vector<Time> &SessionWorld::operationsOf(const OrganisationId &organisation)
{
    return operationsRun_[organisation];
}

std::size_t SessionWorld::mostOperations(const OrganisationId &organisation, Duration window)
{
    const std::vector<Time> &times = operationsRun_[organisation];
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::ranges::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

} // namespace Figward::Testing
