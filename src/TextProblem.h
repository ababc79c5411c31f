/** \file
 * Defines how a mistake in a text that an operator wrote is named: kind, line, column, JSON pointer and a sentence.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** What is wrong at one place of a text. */
enum class TextProblemKind {
    Syntax,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    InvalidValue, ///< Of the right type, but not a name, an address or a number of members that figward accepts.
    Duplicate,
    UnknownName, ///< Refers to a service that the text does not define.
    Cycle, ///< Services depend on each other in a circle.
};

/** One mistake in a text, placed. */
struct TextProblem
{
    TextProblemKind kind_ = TextProblemKind::Syntax;
    unsigned line_ = 0; ///< From 1.
    unsigned column_ = 0; ///< From 1, in bytes.
    std::string pointer_; ///< JSON pointer of the place; empty for the whole text.
    std::string detail_;
    bool operator==(const TextProblem &) const = default;
};

/** Name of \p kind as it stands in reports, such as "unknown-field". */
std::string_view toString(TextProblemKind kind);

/** Collects the mistakes of one text, by offset. */
class TextProblems
{
public:
    explicit TextProblems(std::string_view text);

    /** Notes a mistake at byte \p offset of the text. */
    void add(TextProblemKind kind, std::size_t offset, std::string pointer, std::string detail);
    [[nodiscard]] bool empty() const;
    /** All mistakes in the order of the text. */
    [[nodiscard]] std::vector<TextProblem> take();

private:
    std::vector<std::size_t> lineStarts_; ///< Offset of the first byte of each line.
    std::vector<TextProblem> problems_;
};

/** \p pointer extended by the object key \p key, escaped as RFC 6901 asks. */
std::string childPointer(std::string_view pointer, std::string_view key);
/** \p pointer extended by the array index \p index. */
std::string childPointer(std::string_view pointer, std::size_t index);

} // namespace Figward
