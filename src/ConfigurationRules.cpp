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

/** Where values that have to be unique were seen first. */
class UniqueTexts
{
public:
    UniqueTexts(std::string what, TextProblems &problems)
        : what_(std::move(what))
        , problems_(problems)
    {
    }

    /** Notes the text \p field of \p object, if it has one. */
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
            problems_.add(TextProblemKind::Duplicate, value.offset_, pointer, absl::StrCat("this ", what_, " already stands at ", first->second));
        }
    }

private:
    std::string what_;
    TextProblems &problems_;
    std::map<std::string, std::string> firstPointers_;
};

/** A service's name and what it depends on, as far as the text gives them. */
struct Dependencies
{
    std::string name_;
    std::vector<const JsonNode *> targets_;
    std::vector<std::string> pointers_;
};

/** Follows dependencies in depth; each circle is named once, at the entry that closes it. */
class CycleFinder
{
public:
    CycleFinder(const std::vector<Dependencies> &services, TextProblems &problems)
        : problems_(problems)
    {
        for (const Dependencies &service : services) {
            byName_.emplace(service.name_, &service);
        }
    }

    /**
     * Visits all services. An explicit stack instead of recursion: a chain of as many services as a text may hold must not
     * exhaust the thread's stack.
     */
    void run()
    {
        for (const auto &[name, service] : byName_) {
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
            nameCycle(onPath, target, top.service_->pointers_[index]);
        } else if (const auto found = byName_.find(target.text_); found != byName_.end()) {
            push(*found->second);
        }
    }

    void nameCycle(std::vector<Frame>::const_iterator first, const JsonNode &target, const std::string &pointer)
    {
        std::string circle;
        for (auto frame = first; frame != path_.cend(); ++frame) {
            absl::StrAppend(&circle, frame->service_->name_, " -> ");
        }
        problems_.add(TextProblemKind::Cycle, target.offset_, pointer, absl::StrCat("services depend on each other in a circle: ", circle, target.text_));
    }

    TextProblems &problems_;
    std::map<std::string, const Dependencies *> byName_;
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
        UniqueTexts unique("dependency", problems);
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
 * An even group needs a larger majority than the odd one below it and survives no more failures. It is allowed only while a member is
 * being replaced, since going from 3 to 4 to 3 members keeps any two majorities overlapping, while an exchange in one step does not:
 * {a, b} of {a, b, c} and {c', x} of {a, c', x} need not share a member, and an acknowledged write could be missed by the next primary.
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
                     absl::StrCat("a group of ", count, " survives no more failures than one of ", count == 0 ? 0 : count - 1, "; use an odd number"));
    }
    if (leaving > 0 && count - leaving < count / 2 + 1) {
        problems.add(TextProblemKind::InvalidValue,
                     members->offset_,
                     childPointer(pointer, "members"),
                     absl::StrCat(leaving, " of ", count, " members are leaving; a majority has to stay"));
    }
}

/** The values that must be unique in the whole text. */
struct UniqueInText
{
    explicit UniqueInText(TextProblems &problems)
        : services_("service name", problems)
        , groups_("group name", problems)
        , members_("member name", problems)
        , addresses_("member address", problems)
    {
    }

    UniqueTexts services_;
    UniqueTexts groups_;
    UniqueTexts members_;
    UniqueTexts addresses_;
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
    UniqueTexts classNames("class name", problems);
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
