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
