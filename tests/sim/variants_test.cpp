// The meetings of docs/design/meetings.md, each as many seeds draw it. Four parts each, so that they can be
// played side by side.
#include <gtest/gtest.h>

#include "sim/agent_epochs.hpp"
#include "sim/late_copies.hpp"
#include "sim/pairs.hpp"

using namespace barrowrun::sim;

namespace {

struct Meeting {
    const char* name;
    Draw draw;
};

std::ostream& operator<<(std::ostream& out, const Meeting& m) {
    return out << m.name;
}

class Variants : public testing::TestWithParam<std::tuple<Meeting, std::uint64_t>> {};

TEST_P(Variants, BreakNoRule) {
    const auto& [meeting, part] = GetParam();
    auto asked = seeds(50);
    if (!std::getenv("SIM_SEEDS")) asked.first += part * 50;
    EXPECT_EQ(play(meeting.name, meeting.draw, asked), "");
}

// Two or three troubles at once, in parts that can be played side by side.
class Pairs : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Pairs, OfTroublesThatNobodyNamedBreakNoRule) {
    auto asked = seeds(125);
    if (!std::getenv("SIM_SEEDS")) asked.first += GetParam() * 125;
    EXPECT_EQ(play("pairs", pairs, asked), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, Pairs, testing::Range<std::uint64_t>(0, 8));

INSTANTIATE_TEST_SUITE_P(
    Meetings, Variants,
    testing::Combine(testing::Values(Meeting{"gap", gap}, Meeting{"close_looks", close_looks},
                                     Meeting{"lost_answers", lost_answers}, Meeting{"limits", limits},
                                     Meeting{"handover", handover}, Meeting{"new_machines", new_machines},
                                     Meeting{"old_reports", old_reports}, Meeting{"many_small", many_small},
                                     Meeting{"old_agent_epochs", old_agent_epochs},
                                     Meeting{"copied_commands", copied_commands},
                                     Meeting{"copied_transactions", copied_transactions}),
                     testing::Range<std::uint64_t>(0, 4)),
    [](auto& of) {
        return std::string(std::get<0>(of.param).name) + "_" + std::to_string(std::get<1>(of.param));
    });

}  // namespace
