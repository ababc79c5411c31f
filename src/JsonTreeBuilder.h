/** \file
 * Defines handlers for Boost.JSON's parser: one whose callbacks do nothing, and one that builds a tree of values with their offsets.
 */
#pragma once

#include "JsonDocument.h"

#include <algorithm>
#include <boost/json/basic_parser.hpp>
#include <limits>
#include <utility>

namespace Figward {

/** Handler for Boost.JSON whose callbacks do nothing. Derived handlers redefine those that they need. */
// NOLINTBEGIN(readability-identifier-naming): Boost.JSON fixes these names.
struct NoOpHandler
{
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = max_object_size;
    static constexpr std::size_t max_key_size = max_object_size;
    static constexpr std::size_t max_string_size = max_object_size;

    bool on_document_begin(boost::json::error_code &)
    {
        return true;
    }
    bool on_document_end(boost::json::error_code &)
    {
        return true;
    }
    bool on_array_begin(boost::json::error_code &)
    {
        return true;
    }
    bool on_array_end(std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_object_begin(boost::json::error_code &)
    {
        return true;
    }
    bool on_object_end(std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_string_part(boost::json::string_view, std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_string(boost::json::string_view, std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_key_part(boost::json::string_view, std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_key(boost::json::string_view, std::size_t, boost::json::error_code &)
    {
        return true;
    }
    bool on_number_part(boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
    bool on_int64(std::int64_t, boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
    bool on_uint64(std::uint64_t, boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
    bool on_double(double, boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
    bool on_bool(bool, boost::json::error_code &)
    {
        return true;
    }
    bool on_null(boost::json::error_code &)
    {
        return true;
    }
    bool on_comment_part(boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
    bool on_comment(boost::json::string_view, boost::json::error_code &)
    {
        return true;
    }
};
// NOLINTEND(readability-identifier-naming)

/** Builds the tree from the callbacks of Boost.JSON's parser. The parser is fed byte by byte, so that offset_ is always the byte that triggered a callback. */
class TreeBuilder : public NoOpHandler
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
    bool on_array_begin(boost::json::error_code &)
    {
        return begin(JsonKind::Array);
    }
    bool on_array_end(std::size_t, boost::json::error_code &)
    {
        return end();
    }
    bool on_object_begin(boost::json::error_code &)
    {
        return begin(JsonKind::Object);
    }
    bool on_object_end(std::size_t, boost::json::error_code &)
    {
        return end();
    }
    bool on_string_part(boost::json::string_view part, std::size_t, boost::json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return true;
    }
    bool on_string(boost::json::string_view part, std::size_t, boost::json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return add({.kind_ = JsonKind::Text, .offset_ = openingQuote(), .text_ = std::exchange(buffer_, {})});
    }
    bool on_key_part(boost::json::string_view part, std::size_t, boost::json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        return true;
    }
    bool on_key(boost::json::string_view part, std::size_t, boost::json::error_code &)
    {
        buffer_.append(part.data(), part.size());
        open_.back().key_ = std::exchange(buffer_, {});
        open_.back().keyOffset_ = openingQuote();
        return true;
    }
    bool on_int64(std::int64_t value, boost::json::string_view, boost::json::error_code &)
    {
        return add({.kind_ = JsonKind::Integer, .offset_ = numberStart(), .integer_ = value});
    }
    bool on_uint64(std::uint64_t value, boost::json::string_view, boost::json::error_code &)
    {
        return add({.kind_ = JsonKind::Number, .offset_ = numberStart(), .number_ = static_cast<double>(value)});
    }
    bool on_double(double value, boost::json::string_view, boost::json::error_code &)
    {
        return add({.kind_ = JsonKind::Number, .offset_ = numberStart(), .number_ = value});
    }
    bool on_bool(bool value, boost::json::error_code &)
    {
        return add({.kind_ = JsonKind::Boolean, .offset_ = literalStart(value ? "true" : "false"), .boolean_ = value});
    }
    bool on_null(boost::json::error_code &)
    {
        return add({.kind_ = JsonKind::Null, .offset_ = literalStart("null")});
    }
    // NOLINTEND(readability-identifier-naming)

private:
    /** An array or object whose end has not been parsed yet. */
    struct OpenNode
    {
        JsonNode node_;
        std::string pointer_;
        std::string key_; ///< Key of the member that is being parsed.
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
        reportDuplicateKeys(open_.back());
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

    /** Reports duplicate keys of \p object. It sorts the keys, since comparing every pair would take too long for a text with a million keys. */
    void reportDuplicateKeys(const OpenNode &object)
    {
        std::vector<const JsonMember *> members;
        for (const JsonMember &member : object.node_.members_) {
            members.push_back(&member);
        }
        std::ranges::stable_sort(members, {}, &JsonMember::key_);
        for (std::size_t i = 1; i < members.size(); ++i) {
            if (members[i]->key_ == members[i - 1]->key_) {
                problems_.add(TextProblemKind::Duplicate,
                              members[i]->keyOffset_,
                              childPointer(object.pointer_, members[i]->key_),
                              "this key occurs more than once in its object");
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

    /**
     * Searches backwards for the opening quote of the string that ends before offset_. A quote inside a string always follows an odd number of
     * backslashes and the opening quote never does, so it is the first quote found that follows an even number.
     */
    [[nodiscard]] std::size_t openingQuote() const
    {
        std::size_t start = offset_;
        while (start > 0) {
            --start;
            if (text_[start] != '"') {
                continue;
            }
            std::size_t backslashes = 0;
            while (backslashes < start && text_[start - 1 - backslashes] == '\\') {
                ++backslashes;
            }
            if (backslashes % 2 == 0) {
                return start;
            }
        }
        return start;
    }

    /** Returns the offset of the first byte of the number that ends before offset_: the callback for a number is triggered by the byte after it. */
    [[nodiscard]] std::size_t numberStart() const
    {
        std::size_t start = offset_;
        while (start > 0 && std::string_view("0123456789+-.eE").find(text_[start - 1]) != std::string_view::npos) {
            --start;
        }
        return start;
    }

    /** Returns the offset of the first byte of \p literal: the callback for a literal is triggered by its last byte. */
    [[nodiscard]] std::size_t literalStart(std::string_view literal) const
    {
        return offset_ + 1 - literal.size();
    }

    std::string_view text_;
    TextProblems &problems_;
    std::size_t offset_ = 0;
    std::string buffer_; ///< Content of the string that is being parsed.
    std::vector<OpenNode> open_;
    std::optional<JsonNode> root_;
    std::string rootPointer_;
};

} // namespace Figward
