// Jobs with fields that nobody knows or that can't be kept, and records that can't be read.
#include "sim/expectations.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

Json nested_lists(int levels) {
    Json value = Json::array();
    for (int i = 1; i < levels; ++i) value = Json::array({std::move(value)});
    return value;
}

// Sends a request of a user to a node and returns the answer.
Reply ask_node(Site& site, std::size_t node, std::string target, Json body) {
    std::optional<Reply> reply;
    sim::Request request{"user", net::http::verb::post, std::move(target), std::move(body), 0};
    site.world.send(std::move(request), site.node_name(node) + ":users", 5s,
                    [&](Reply r) { reply = std::move(r); });
    EXPECT_TRUE(run_until(site, 6s, [&] { return reply.has_value(); }));
    return reply.value_or(Reply{});
}

}  // namespace

// Guards against a leader whose recovery never ends because one accepted job has an unknown field with lists
// in many levels: all jobs stood still after a crash of all nodes.
TEST(UnreadableRecords, AJobWithADeepUnknownFieldAndAllOthersRunAfterACrashOfAllNodes) {
    for (int levels : {7, 8, 9, 18, 19, 20, 21, 22, 23, 24, 60}) {
        Site site({.seed = static_cast<std::uint64_t>(levels)});
        site.poll_all(2s);
        site.run(5s);
        std::vector<wire::JobSpec> specs{site.job(2, 15), site.job(2, 15), site.job(2, 15)};
        specs[1].extra = Json{{"labels", nested_lists(levels)}};
        for (auto& spec : specs) site.submit(spec);
        site.run(3s);
        end_all_nodes(site, 4s);
        site.run(90s);
        for (auto& spec : specs) EXPECT_TRUE(site.checker.over(spec.id)) << levels << " levels";
        expect_no_rule_broken(site);
    }
}

// Guards against a submission that is answered 503 again and again because the state service refuses its
// record each time.
TEST(UnreadableRecords, ASubmissionThatCanNotBeKeptIsRefusedForGood) {
    Site site({.value_bytes = 8 * 1024});
    site.run(8s);
    for (std::size_t node = 0; node < nodes; ++node) {
        Json large = wire::submission_json(site.job(1, 5));
        for (int i = 0; i < 1000; ++i) large["builds"].push_back("type-" + std::to_string(i));
        large["builds"].push_back("small");
        EXPECT_EQ(ask_node(site, node, "/submissions", large).status, 422);
        Json not_text = wire::submission_json(site.job(1, 5));
        not_text["cargo"] = "\xc3\x28";
        EXPECT_EQ(ask_node(site, node, "/submissions", not_text).status, 400);
    }
}
