// Checks mutated examples with fixed seeds. For any text, the checker does not crash, returns a configuration if and only if it reports no problem, and
// reports positions within the text. A text that it accepts keeps its meaning when it is split and joined.

#include "ConfigurationText.h"
#include "support/TestFiles.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace Figward;

namespace {

constexpr unsigned rounds = 1500;

using Random = std::mt19937_64;

std::size_t pick(Random &random, std::size_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

/** Applies one mutation: replaces a byte, removes, duplicates or moves a substring, or inserts a token. */
void mutate(std::string &text, Random &random)
{
    static const std::vector<std::string> tokens{"{",
                                                 "}",
                                                 "[",
                                                 "]",
                                                 ",",
                                                 ":",
                                                 "\"",
                                                 "//",
                                                 "/*",
                                                 "*/",
                                                 "null",
                                                 "true",
                                                 "-1",
                                                 "1e400",
                                                 "99999999999999999999",
                                                 "\xEF\xBB\xBF",
                                                 std::string(1, '\0'),
                                                 "\\u0000",
                                                 "\"name\"",
                                                 "\"leaving\": true,",
                                                 "\n"};
    const std::size_t at = pick(random, text.size());
    const std::size_t length = pick(random, 40);
    switch (pick(random, 5)) {
    case 0:
        if (!text.empty()) {
            text[at] = static_cast<char>(random());
        }
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    case 3:
        text.insert(at, text.substr(pick(random, text.size()), length));
        break;
    default:
        text.insert(at, tokens[pick(random, tokens.size())]);
    }
}

void expectPositionWithinText(const TextProblem &problem, const std::vector<std::size_t> &lineLengths)
{
    ASSERT_GE(problem.line_, 1U);
    ASSERT_LE(problem.line_, lineLengths.size());
    EXPECT_GE(problem.column_, 1U);
    EXPECT_LE(problem.column_, lineLengths[problem.line_ - 1] + 1);
    EXPECT_FALSE(problem.detail_.empty());
}

std::vector<std::size_t> lineLengths(const std::string &text)
{
    std::vector<std::size_t> lengths{0};
    for (const char c : text) {
        if (c == '\n') {
            lengths.push_back(0);
        } else {
            ++lengths.back();
        }
    }
    return lengths;
}

void expectSameAfterJoin(const std::string &text, const Configuration &configuration)
{
    const std::vector<ConfigurationPart> parts = splitConfiguration(text);
    const std::string joined = joinConfiguration(parts);
    const CheckedConfiguration again = checkConfiguration(joined);
    ASSERT_TRUE(again.configuration_.has_value()) << joined;
    EXPECT_EQ(again.configuration_->groups_.size(), configuration.groups_.size());
    EXPECT_EQ(again.configuration_->services_.size(), configuration.services_.size());
    for (const auto &[id, group] : configuration.groups_) {
        EXPECT_EQ(again.configuration_->groups_.at(id).members_, group.members_);
    }
    const std::vector<ConfigurationPart> partsAgain = splitConfiguration(joined);
    ASSERT_EQ(partsAgain.size(), parts.size());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        EXPECT_EQ(partsAgain[i].name_, parts[i].name_);
        EXPECT_EQ(partsAgain[i].text_, parts[i].text_);
    }
}

/** Returns whether the text was accepted. */
bool checkOne(const std::string &text)
{
    const CheckedConfiguration checked = checkConfiguration(text);
    EXPECT_EQ(checked.configuration_.has_value(), checked.problems_.empty());
    const std::vector<std::size_t> lengths = lineLengths(text);
    for (const TextProblem &problem : checked.problems_) {
        expectPositionWithinText(problem, lengths);
    }
    if (checked.configuration_) {
        expectSameAfterJoin(text, *checked.configuration_);
    }
    return checked.configuration_.has_value();
}

void fuzz(const std::string &example, std::uint64_t seed)
{
    const std::string original = Figward::Testing::readRepositoryFile(example);
    Random random(seed);
    unsigned accepted = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        std::string text = original;
        for (std::size_t changes = 1 + pick(random, 3); changes > 0; --changes) {
            mutate(text, random);
        }
        accepted += checkOne(text) ? 1 : 0;
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed << " round " << round << "\n" << text;
    }
    EXPECT_GT(accepted, 0U) << "mutations in comments and spaces must leave some texts correct";
    EXPECT_LT(accepted, rounds);
}

} // namespace

TEST(ConfigurationTextMutations, ofConsorcio)
{
    fuzz("examples/consorcio.json", 1);
}

TEST(ConfigurationTextMutations, ofMagnolia)
{
    fuzz("examples/magnolia.json", 2);
}
