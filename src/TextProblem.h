/** \file
 * Defines the report of an error in an operator-written text (configuration or settings): kind, line, column, JSON pointer and message.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Kind of an error in a text. */
enum class TextProblemKind {
    Syntax,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    InvalidValue, ///< The type is right, but the value is not a valid name, address, choice or number of members.
    Duplicate,
    UnknownName, ///< Reference to a service that the text does not define.
    Cycle, ///< The dependencies of services form a cycle.
};

/** An error in a text, with its location. */
struct TextProblem
{
    TextProblemKind kind_ = TextProblemKind::Syntax;
    unsigned line_ = 0; ///< 1-based.
    unsigned column_ = 0; ///< 1-based, in bytes.
    std::string pointer_; ///< JSON pointer of the erroneous value; empty for the whole text.
    std::string detail_;
    bool operator==(const TextProblem &) const = default;
};

/** Returns the name of \p kind that reports print, such as "unknown-field". */
std::string_view toString(TextProblemKind kind);

/** Collects the errors of one text and converts byte offsets to lines and columns. */
class TextProblems
{
public:
    explicit TextProblems(std::string_view text);

    /** Records an error at byte \p offset of the text. */
    void add(TextProblemKind kind, std::size_t offset, std::string pointer, std::string detail);
    [[nodiscard]] bool empty() const;
    /** Returns all errors, sorted by their position in the text, and clears the collection. */
    [[nodiscard]] std::vector<TextProblem> take();

private:
    std::vector<std::size_t> lineStarts_; ///< Offset of the first byte of each line.
    std::vector<TextProblem> problems_;
};

/** Returns \p pointer extended by the object key \p key, escaped as RFC 6901 requires. */
std::string childPointer(std::string_view pointer, std::string_view key);
/** Returns \p pointer extended by the array index \p index. */
std::string childPointer(std::string_view pointer, std::size_t index);

} // namespace Figward
