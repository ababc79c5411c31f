#include "JsonDocument.h"

#include "JsonTreeBuilder.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>

namespace Figward {

namespace {

namespace json = boost::json;

constexpr std::size_t maxDepth = 32;

// NOLINTBEGIN(readability-identifier-naming): Boost.JSON fixes these names.
/** Replaces the comments in a copy of the text by spaces, which keeps all offsets. */
struct CommentBlanker : NoOpHandler
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

json::parse_options parseOptions()
{
    json::parse_options options;
    options.max_depth = maxDepth;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    return options;
}

/** Result of a syntax check of the whole text, and the text with its comments replaced by spaces. */
struct SyntaxCheckResult
{
    std::string blanked_;
    std::size_t errorOffset_ = 0;
    json::error_code error_;
};

SyntaxCheckResult checkSyntax(std::string_view text)
{
    SyntaxCheckResult result{.blanked_ = std::string(text)};
    json::basic_parser<CommentBlanker> parser(parseOptions(), text, result.blanked_);
    result.errorOffset_ = parser.write_some(false, text.data(), text.size(), result.error_);
    if (!result.error_ && result.errorOffset_ < text.size()) {
        result.error_ = json::error::extra_data;
    }
    return result;
}

/**
 * Feeds the text to the parser byte by byte up to \p end. Comments must have been replaced by spaces before: Boost.JSON 1.81 reads past the end
 * of its input when a chunk ends exactly at the end of a comment.
 */
void feed(json::basic_parser<TreeBuilder> &parser, std::string_view text, std::size_t end, json::error_code &error)
{
    for (std::size_t offset = 0; offset < end && !error; ++offset) {
        parser.handler().setOffset(offset);
        parser.write_some(true, text.data() + offset, 1, error);
    }
}

/** Checks the conditions under which the text can be parsed at all: size, no byte order mark, not empty. */
bool checkPreconditions(std::string_view text, TextProblems &problems)
{
    if (text.size() > maxTextBytes) {
        problems.add(TextProblemKind::OutOfRange, 0, "", absl::StrCat("the text has ", text.size(), " bytes; at most ", maxTextBytes, " are allowed"));
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
    if (!checkPreconditions(text, problems)) {
        return std::nullopt;
    }
    const SyntaxCheckResult result = checkSyntax(text);
    json::basic_parser<TreeBuilder> parser(parseOptions(), result.blanked_, problems);
    json::error_code error = result.error_;
    if (error) {
        json::error_code ignored;
        feed(parser, result.blanked_, result.errorOffset_, ignored);
        problems.add(TextProblemKind::Syntax, std::min(result.errorOffset_, text.size() - 1), parser.handler().pointer(), error.message());
        return std::nullopt;
    }
    feed(parser, result.blanked_, text.size(), error);
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
