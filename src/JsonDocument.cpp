#include "JsonDocument.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <limits>
#include <utility>

namespace Figward {

namespace {

namespace json = boost::json;

constexpr std::size_t maxDepth = 32;

/** What Boost.JSON asks of a handler, doing nothing. Derived handlers hide what they need. */
// NOLINTBEGIN(readability-identifier-naming): Boost.JSON fixes these names.
struct SilentHandler
{
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = max_object_size;
    static constexpr std::size_t max_key_size = max_object_size;
    static constexpr std::size_t max_string_size = max_object_size;

    bool on_document_begin(json::error_code &)
    {
        return true;
    }
    bool on_document_end(json::error_code &)
    {
        return true;
    }
    bool on_array_begin(json::error_code &)
    {
        return true;
    }
    bool on_array_end(std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_object_begin(json::error_code &)
    {
        return true;
    }
    bool on_object_end(std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_key_part(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_key(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_number_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_double(double, json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_bool(bool, json::error_code &)
    {
        return true;
    }
    bool on_null(json::error_code &)
    {
        return true;
    }
    bool on_comment_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_comment(json::string_view, json::error_code &)
    {
        return true;
    }
};

/** Blanks the comments of a copy of the text, so that all offsets stay. */
struct CommentBlanker : SilentHandler
{
    CommentBlanker(std::string_view text, std::string &copy)
        : text_(text)
        , copy_(copy)
    {
    }

    bool on_comment(json::string_view comment, json::error_code &)
    {
        const auto begin = copy_.begin() + (comment.data() - text_.data());
        std::replace_if(
            begin, begin + static_cast<std::ptrdiff_t>(comment.size()), [](char c) { return c != '\n'; }, ' ');
        return true;
    }

    std::string_view text_;
    std::string &copy_;
};
// NOLINTEND(readability-identifier-naming)

/** Builds the tree from the events of Boost.JSON, which is fed byte by byte so that offset_ always names the byte that caused an event. */
class TreeBuilder : public SilentHandler
{
public:
    TreeBuilder(std::string_view text, TextProblems &problems)
        : text_(text)
        , problems_(problems)
    {
    }

    void setOffset(std::size_t offset)
    {
        offset_ = offset;
    }
    [[nodiscard]] std::optional<JsonNode> takeRoot()
    {
        return std::move(root_);
    }
    [[nodiscard]] const std::string &pointer() const
    {
        return open_.empty() ? rootPointer_ : open_.back().pointer_;
    }

    // Boost.JSON fixes the names of the functions below.
    // NOLINTBEGIN(readability-identifier-naming)
    bool on_array_begin(json::error_code &)
    {
        return begin(JsonKind::Array);
    }
    bool on_array_end(std::size_t, json::error_code &)
    {
        return end();
    }
    bool on_object_begin(json::error_code &)
    {
        return begin(JsonKind::Object);
    }
    bool on_object_end(std::size_t, json::error_code &)
    {
        return end();
    }
    bool on_string_part(json::string_view part, std::size_t, json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return true;
    }
    bool on_string(json::string_view part, std::size_t, json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return add({.kind_ = JsonKind::Text, .offset_ = openingQuote(), .text_ = std::exchange(buffer_, {})});
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        open_.back().key_ = std::exchange(buffer_, {});
        open_.back().keyOffset_ = openingQuote();
        return true;
    }
    bool on_int64(std::int64_t value, json::string_view, json::error_code &)
    {
        return add({.kind_ = JsonKind::Integer, .offset_ = numberStart(), .integer_ = value});
    }
    bool on_uint64(std::uint64_t value, json::string_view, json::error_code &)
    {
        return add({.kind_ = JsonKind::Number, .offset_ = numberStart(), .number_ = static_cast<double>(value)});
    }
    bool on_double(double value, json::string_view, json::error_code &)
    {
        return add({.kind_ = JsonKind::Number, .offset_ = numberStart(), .number_ = value});
    }
    bool on_bool(bool value, json::error_code &)
    {
        return add({.kind_ = JsonKind::Boolean, .offset_ = literalStart(value ? "true" : "false"), .boolean_ = value});
    }
    bool on_null(json::error_code &)
    {
        return add({.kind_ = JsonKind::Null, .offset_ = literalStart("null")});
    }
    // NOLINTEND(readability-identifier-naming)

private:
    /** An array or object whose end has not been read. */
    struct OpenNode
    {
        JsonNode node_;
        std::string pointer_;
        std::string key_; ///< Of the member that is being read.
        std::size_t keyOffset_ = 0;
    };

    bool begin(JsonKind kind)
    {
        OpenNode opened{.node_ = {.kind_ = kind, .offset_ = offset_}, .pointer_ = nextPointer()};
        open_.push_back(std::move(opened));
        return true;
    }

    bool end()
    {
        nameDoubledKeys(open_.back());
        JsonNode closed = std::move(open_.back().node_);
        open_.pop_back();
        return add(std::move(closed));
    }

    bool add(JsonNode node)
    {
        if (open_.empty()) {
            root_ = std::move(node);
            return true;
        }
        OpenNode &parent = open_.back();
        if (parent.node_.kind_ == JsonKind::Array) {
            parent.node_.items_.push_back(std::move(node));
            return true;
        }
        parent.node_.members_.push_back({std::move(parent.key_), parent.keyOffset_, std::move(node)});
        return true;
    }

    /** Sorts instead of comparing each key with each: a text of a million keys must not hold up the process. */
    void nameDoubledKeys(const OpenNode &object)
    {
        std::vector<const JsonMember *> members;
        for (const JsonMember &member : object.node_.members_) {
            members.push_back(&member);
        }
        std::ranges::stable_sort(members, {}, &JsonMember::key_);
        for (std::size_t i = 1; i < members.size(); ++i) {
            if (members[i]->key_ == members[i - 1]->key_) {
                problems_.add(
                    TextProblemKind::Duplicate, members[i]->keyOffset_, childPointer(object.pointer_, members[i]->key_), "this key stands twice in its object");
            }
        }
    }

    [[nodiscard]] std::string nextPointer() const
    {
        if (open_.empty()) {
            return {};
        }
        const OpenNode &parent = open_.back();
        if (parent.node_.kind_ == JsonKind::Array) {
            return childPointer(parent.pointer_, parent.node_.items_.size());
        }
        return childPointer(parent.pointer_, parent.key_);
    }

    /** A quote within a string always follows an odd number of backslashes, the opening one never does: the first such quote backwards is it. */
    [[nodiscard]] std::size_t openingQuote() const
    {
        std::size_t at = offset_;
        while (at > 0) {
            --at;
            if (text_[at] != '"') {
                continue;
            }
            std::size_t backslashes = 0;
            while (backslashes < at && text_[at - 1 - backslashes] == '\\') {
                ++backslashes;
            }
            if (backslashes % 2 == 0) {
                return at;
            }
        }
        return at;
    }

    /** The event of a number comes with the byte after it. */
    [[nodiscard]] std::size_t numberStart() const
    {
        std::size_t at = offset_;
        while (at > 0 && std::string_view("0123456789+-.eE").find(text_[at - 1]) != std::string_view::npos) {
            --at;
        }
        return at;
    }

    /** The event of a literal comes with its last byte. */
    [[nodiscard]] std::size_t literalStart(std::string_view literal) const
    {
        return offset_ + 1 - literal.size();
    }

    std::string_view text_;
    TextProblems &problems_;
    std::size_t offset_ = 0;
    std::string buffer_; ///< Of the string that is being read.
    std::vector<OpenNode> open_;
    std::optional<JsonNode> root_;
    std::string rootPointer_;
};

json::parse_options parseOptions()
{
    json::parse_options options;
    options.max_depth = maxDepth;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    return options;
}

/** Verdict of the parser on the whole text, and the text with its comments blanked. */
struct SyntaxCheck
{
    std::string blanked_;
    std::size_t errorOffset_ = 0;
    json::error_code error_;
};

SyntaxCheck checkSyntax(std::string_view text)
{
    SyntaxCheck check{.blanked_ = std::string(text)};
    json::basic_parser<CommentBlanker> parser(parseOptions(), text, check.blanked_);
    check.errorOffset_ = parser.write_some(false, text.data(), text.size(), check.error_);
    if (!check.error_ && check.errorOffset_ < text.size()) {
        check.error_ = json::error::extra_data;
    }
    return check;
}

/**
 * Feeds the text byte by byte up to \p end. The comments must be blanked: Boost.JSON 1.81 reads past the end of its input
 * when a piece ends exactly where a comment ends.
 */
void feed(json::basic_parser<TreeBuilder> &parser, std::string_view text, std::size_t end, json::error_code &error)
{
    for (std::size_t at = 0; at < end && !error; ++at) {
        parser.handler().setOffset(at);
        parser.write_some(true, text.data() + at, 1, error);
    }
}

/** Whether the text can be handed to the parser at all. */
bool checkBytes(std::string_view text, TextProblems &problems)
{
    if (text.size() > maxTextBytes) {
        problems.add(TextProblemKind::OutOfRange, 0, "", absl::StrCat("the text has ", text.size(), " bytes; at most ", maxTextBytes, " are read"));
        return false;
    }
    if (text.substr(0, 3) == "\xEF\xBB\xBF") {
        problems.add(TextProblemKind::Syntax, 0, "", "the text begins with a byte order mark; save it as UTF-8 without one");
        return false;
    }
    if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
        problems.add(TextProblemKind::Syntax, 0, "", "the text is empty");
        return false;
    }
    return true;
}

} // namespace

std::optional<JsonNode> parseJsonDocument(std::string_view text, TextProblems &problems)
{
    if (!checkBytes(text, problems)) {
        return std::nullopt;
    }
    const SyntaxCheck check = checkSyntax(text);
    json::basic_parser<TreeBuilder> parser(parseOptions(), check.blanked_, problems);
    json::error_code error = check.error_;
    if (error) {
        json::error_code ignored;
        feed(parser, check.blanked_, check.errorOffset_, ignored);
        problems.add(TextProblemKind::Syntax, std::min(check.errorOffset_, text.size() - 1), parser.handler().pointer(), error.message());
        return std::nullopt;
    }
    feed(parser, check.blanked_, text.size(), error);
    parser.handler().setOffset(text.size());
    parser.write_some(false, text.data() + text.size(), 0, error);
    if (error) {
        problems.add(TextProblemKind::Syntax, text.size() - 1, parser.handler().pointer(), error.message());
        return std::nullopt;
    }
    return parser.handler().takeRoot();
}

const JsonNode *findMember(const JsonNode &object, std::string_view key)
{
    const auto found = std::ranges::find(object.members_, key, &JsonMember::key_);
    return found == object.members_.end() ? nullptr : &found->value_;
}

} // namespace Figward
