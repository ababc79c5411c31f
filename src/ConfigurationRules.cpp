#include "ConfigurationRules.h"

#include "FieldTable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Figward {

namespace {

/** Reports duplicates among values that must be unique. */
class UniqueValues
{
public:
    UniqueValues(std::string description, TextProblems &problems)
        : description_(std::move(description))
        , problems_(problems)
    {
    }

    /** Checks the text \p field of \p object, if present. */
    void check(const JsonNode &object, std::string_view field, const std::string &pointer)
    {
        const JsonNode *value = findMember(object, field);
        if (value != nullptr) {
            check(*value, childPointer(pointer, field));
        }
    }

    void check(const JsonNode &value, const std::string &pointer)
    {
        if (value.kind_ != JsonKind::Text) {
            return;
        }
        const auto [first, isNew] = firstPointers_.emplace(value.text_, pointer);
        if (!isNew) {
            problems_.add(TextProblemKind::Duplicate, value.offset_, pointer, absl::StrCat("this ", description_, " is already used at ", first->second));
        }
    }

private:
    std::string description_;
    TextProblems &problems_;
    std::map<std::string, std::string> firstPointers_;
};

/** Name of a service and the services that it depends on, as far as the text defines them. */
struct Dependencies
{
    std::string name_;
    std::vector<const JsonNode *> targets_;
    std::vector<std::string> pointers_;
};

/** Searches the dependencies depth-first for cycles. Each cycle is reported once, at the entry that closes it. */
class CycleFinder
{
public:
    CycleFinder(const std::vector<Dependencies> &services, TextProblems &problems)
        : problems_(problems)
    {
        for (const Dependencies &service : services) {
            servicesByName_.emplace(service.name_, &service);
        }
    }

    /**
     * Visits all services. It uses an explicit stack instead of recursion, so that a dependency chain of the maximum number of services cannot
     * exhaust the thread's stack.
     */
    void run()
    {
        for (const auto &[name, service] : servicesByName_) {
            push(*service);
            while (!path_.empty()) {
                step();
            }
        }
    }

private:
    struct Frame
    {
        const Dependencies *service_;
        std::size_t next_ = 0; ///< Index of the dependency to follow next.
    };

    void push(const Dependencies &service)
    {
        if (visited_.insert(service.name_).second) {
            path_.push_back({&service});
        }
    }

    void step()
    {
        Frame &top = path_.back();
        if (top.next_ == top.service_->targets_.size()) {
            path_.pop_back();
            return;
        }
        const std::size_t index = top.next_++;
        const JsonNode &target = *top.service_->targets_[index];
        const auto onPath = std::ranges::find(path_, target.text_, [](const Frame &f) { return f.service_->name_; });
        if (onPath != path_.end()) {
            reportCycle(onPath, target, top.service_->pointers_[index]);
        } else if (const auto found = servicesByName_.find(target.text_); found != servicesByName_.end()) {
            push(*found->second);
        }
    }

    void reportCycle(std::vector<Frame>::const_iterator first, const JsonNode &target, const std::string &pointer)
    {
        std::string cycle;
        for (auto frame = first; frame != path_.cend(); ++frame) {
            absl::StrAppend(&cycle, frame->service_->name_, " -> ");
        }
        problems_.add(TextProblemKind::Cycle, target.offset_, pointer, absl::StrCat("the dependencies of these services form a cycle: ", cycle, target.text_));
    }

    TextProblems &problems_;
    std::map<std::string, const Dependencies *> servicesByName_;
    std::set<std::string> visited_;
    std::vector<Frame> path_;
};

Dependencies readDependencies(const JsonNode &service, const std::string &pointer)
{
    Dependencies result;
    if (const JsonNode *name = findMember(service, "name"); name != nullptr) {
        result.name_ = name->text_;
    }
    const absl::Span<const JsonNode> targets = itemsField(service, "depends_on");
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (targets[i].kind_ == JsonKind::Text) {
            result.targets_.push_back(&targets[i]);
            result.pointers_.push_back(childPointer(childPointer(pointer, "depends_on"), i));
        }
    }
    return result;
}

void checkDependencies(absl::Span<const JsonNode> services, const std::string &pointer, TextProblems &problems)
{
    std::vector<Dependencies> all;
    std::set<std::string> names;
    for (std::size_t i = 0; i < services.size(); ++i) {
        all.push_back(readDependencies(services[i], childPointer(pointer, i)));
        names.insert(all.back().name_);
    }
    for (const Dependencies &service : all) {
        UniqueValues unique("dependency", problems);
        for (std::size_t i = 0; i < service.targets_.size(); ++i) {
            const JsonNode &target = *service.targets_[i];
            unique.check(target, service.pointers_[i]);
            if (!names.contains(target.text_)) {
                problems.add(TextProblemKind::UnknownName, target.offset_, service.pointers_[i], "no service has this name");
            }
        }
    }
    CycleFinder(all, problems).run();
}

/**
 * Checks the number of members of \p group. A group with an even number of members needs a larger majority than one with a member less, and
 * tolerates no more failures. An even number is allowed only while a member is being replaced: with a change from 3 to 4 to 3 members, any two
 * successive majorities overlap. With a replacement in one step they need not: {a, b} of {a, b, c} and {c', x} of {a, c', x} may have no member in
 * common, and the next primary could miss an acknowledged write.
 */
void checkMembers(const JsonNode &group, const std::string &pointer, TextProblems &problems)
{
    const JsonNode *members = findMember(group, "members");
    if (members == nullptr || members->kind_ != JsonKind::Array) {
        return;
    }
    const std::size_t count = members->items_.size();
    const auto leaving = static_cast<std::size_t>(std::ranges::count_if(members->items_, [](const JsonNode &member) {
        const JsonNode *flag = findMember(member, "leaving");
        return flag != nullptr && flag->boolean_;
    }));
    if (count % 2 == 0 && leaving == 0) {
        problems.add(TextProblemKind::InvalidValue,
                     members->offset_,
                     childPointer(pointer, "members"),
                     absl::StrCat("a group of ", count, " tolerates no more failures than one of ", count == 0 ? 0 : count - 1, "; use an odd number"));
    }
    if (leaving > 0 && count - leaving < count / 2 + 1) {
        problems.add(TextProblemKind::InvalidValue,
                     members->offset_,
                     childPointer(pointer, "members"),
                     absl::StrCat(leaving, " of ", count, " members are leaving; a majority must remain"));
    }
}

/** Checks of values that must be unique in the whole text. */
struct UniqueInText
{
    explicit UniqueInText(TextProblems &problems)
        : services_("service name", problems)
        , groups_("group name", problems)
        , members_("member name", problems)
        , addresses_("member address", problems)
    {
    }

    UniqueValues services_;
    UniqueValues groups_;
    UniqueValues members_;
    UniqueValues addresses_;
};

void checkGroup(const JsonNode &group, const std::string &pointer, UniqueInText &unique, TextProblems &problems)
{
    unique.groups_.check(group, "name", pointer);
    checkMembers(group, pointer, problems);
    const std::string membersPointer = childPointer(pointer, "members");
    const absl::Span<const JsonNode> members = itemsField(group, "members");
    for (std::size_t i = 0; i < members.size(); ++i) {
        unique.members_.check(members[i], "name", childPointer(membersPointer, i));
        unique.addresses_.check(members[i], "address", childPointer(membersPointer, i));
    }
}

void checkService(const JsonNode &service, const std::string &pointer, UniqueInText &unique, TextProblems &problems)
{
    unique.services_.check(service, "name", pointer);
    UniqueValues classNames("class name", problems);
    const absl::Span<const JsonNode> classes = itemsField(service, "classes");
    for (std::size_t i = 0; i < classes.size(); ++i) {
        classNames.check(classes[i], "name", childPointer(childPointer(pointer, "classes"), i));
    }
    const absl::Span<const JsonNode> groups = itemsField(service, "groups");
    for (std::size_t i = 0; i < groups.size(); ++i) {
        checkGroup(groups[i], childPointer(childPointer(pointer, "groups"), i), unique, problems);
    }
}

} // namespace

void checkConfigurationRules(const JsonNode &root, TextProblems &problems)
{
    const std::string pointer = childPointer("", "services");
    const absl::Span<const JsonNode> services = itemsField(root, "services");
    UniqueInText unique(problems);
    for (std::size_t i = 0; i < services.size(); ++i) {
        checkService(services[i], childPointer(pointer, i), unique, problems);
    }
    checkDependencies(services, pointer, problems);
}

} // namespace Figward
