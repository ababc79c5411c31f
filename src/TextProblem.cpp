#include "TextProblem.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Figward {

std::string_view toString(TextProblemKind kind)
{
    switch (kind) {
    case TextProblemKind::Syntax:
        return "syntax";
    case TextProblemKind::UnknownField:
        return "unknown-field";
    case TextProblemKind::MissingField:
        return "missing-field";
    case TextProblemKind::WrongType:
        return "wrong-type";
    case TextProblemKind::OutOfRange:
        return "out-of-range";
    case TextProblemKind::InvalidValue:
        return "invalid-value";
    case TextProblemKind::Duplicate:
        return "duplicate";
    case TextProblemKind::UnknownName:
        return "unknown-name";
    case TextProblemKind::Cycle:
        return "cycle";
    }
    return "?";
}

TextProblems::TextProblems(std::string_view text)
    : lineStarts_{0}
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\n') {
            lineStarts_.push_back(i + 1);
        }
    }
}

void TextProblems::add(TextProblemKind kind, std::size_t offset, std::string pointer, std::string detail)
{
    const auto next = std::ranges::upper_bound(lineStarts_, offset);
    const auto line = static_cast<unsigned>(next - lineStarts_.begin());
    const auto column = static_cast<unsigned>(offset - *(next - 1) + 1);
    problems_.push_back({kind, line, column, std::move(pointer), std::move(detail)});
}

bool TextProblems::empty() const
{
    return problems_.empty();
}

std::vector<TextProblem> TextProblems::take()
{
    std::ranges::stable_sort(problems_, {}, [](const TextProblem &p) { return std::pair(p.line_, p.column_); });
    return std::exchange(problems_, {});
}

std::string childPointer(std::string_view pointer, std::string_view key)
{
    const std::string escaped = absl::StrReplaceAll(absl::string_view(key.data(), key.size()), {{"~", "~0"}, {"/", "~1"}});
    return absl::StrCat(absl::string_view(pointer.data(), pointer.size()), "/", escaped);
}

std::string childPointer(std::string_view pointer, std::size_t index)
{
    return absl::StrCat(absl::string_view(pointer.data(), pointer.size()), "/", index);
}

} // namespace Figward
