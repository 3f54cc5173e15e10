// Random histories of three nodes after the state service has lost the leader's lease: processes end and
// restart, messages are delayed, clocks drift. No node may become leader while another leader's lease is
// valid because of lease votes.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "election/leader_lease.hpp"
#include "election/lease_voter.hpp"

using namespace barrowrun;
using namespace barrowrun::election;
using namespace std::chrono_literals;

namespace {

const TimePoint t0 = TimePoint{} + 100s;
const std::array<std::string, 3> names{"a", "b", "c"};
constexpr auto vote_duration = 2500ms;

// A rule that a history leaves out, to prove that the check detects it.
enum class OmittedRule {
    none,
    wait_for_votes,           // nodes campaign without asking their LeaseVoter
    answer_of_every_process,  // the answer of one node counts as the answer of all nodes
};

struct History {
    struct Process {
        std::size_t node;
        double clock_rate;  // local time per time of the simulation
        LeaseVoter lease_voter;
        bool elected = false;
        std::optional<LeaderLease> leader_lease;
        Process(std::size_t index, double rate, TimePoint started, const std::set<std::string>& others)
            : node(index), clock_rate(rate), lease_voter(started, vote_duration, others) {}
    };
    struct Message {
        Clock::duration due;
        std::function<void()> deliver;
    };
    std::mt19937_64 random;
    OmittedRule omitted_rule;
    std::array<std::shared_ptr<Process>, 3> processes;  // by node; null while the node is down
    std::array<Clock::duration, 3> restart_at{};
    std::vector<Message> in_flight;
    Clock::duration now{};
    int terms = 0, steps_with_two_leaders = 0;

    History(std::uint64_t seed, OmittedRule omitted) : random(seed), omitted_rule(omitted) {}
    bool one_in(std::uint64_t n) { return random() % n == 0; }
    TimePoint local_time(const Process& p) const {
        return t0 + std::chrono::duration_cast<Clock::duration>(now * p.clock_rate);
    }
    void start(std::size_t n) {
        std::set<std::string> others(names.begin(), names.end());
        others.erase(names[n]);
        const double rate = 1 + (static_cast<double>(random() % 1001) - 500) * 1e-6;
        processes[n] = std::make_shared<Process>(
            n, rate, t0 + std::chrono::duration_cast<Clock::duration>(now * rate), others);
    }
    void send(std::function<void()> deliver) {
        auto delay = one_in(8) ? std::chrono::milliseconds(random() % 6000)
                               : std::chrono::milliseconds(1 + random() % 60);
        in_flight.push_back({now + delay, std::move(deliver)});
    }
    void lead(Process& p) {
        p.elected = true;
        p.leader_lease.emplace(2);
        p.leader_lease->extended(local_time(p), 1s);
    }
    // Sends a request; the reply is delivered only if the process that sent the request still runs.
    void request(const std::shared_ptr<Process>& from, std::size_t to,
                 std::function<std::function<void()>(Process&)> handle) {
        send([this, from, to, handle] {
            if (!processes[to]) return;
            auto deliver_reply = handle(*processes[to]);
            send([this, from, deliver_reply] {
                if (processes[from->node] == from) deliver_reply();
            });
        });
    }
    void step() {
        now += 20ms;
        for (std::size_t i = 0; i < in_flight.size();) {
            if (in_flight[i].due > now) {
                ++i;
                continue;
            }
            auto deliver = std::move(in_flight[i].deliver);
            in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
            deliver();
        }
        if (one_in(600))  // all processes end at once
            for (std::size_t n = 0; n < 3; ++n)
                processes[n].reset(), restart_at[n] = now + 20ms * (random() % 50);
        for (std::size_t n = 0; n < 3; ++n) {
            if (!processes[n]) {
                if (now >= restart_at[n]) start(n);
                continue;
            }
            if (one_in(400)) {
                processes[n].reset();
                restart_at[n] = now + 20ms * (random() % 100);
                continue;
            }
            auto p = processes[n];
            const auto time = local_time(*p);
            for (std::size_t to = 0; to < 3; ++to) {
                if (to == n) continue;
                if (one_in(10))
                    request(p, to, [this, p, to, time](Process& q) -> std::function<void()> {
                        const bool elected = q.elected;
                        return [this, p, to, time, elected] {
                            p->lease_voter.peer_reported(names[to], elected, time);
                            if (omitted_rule == OmittedRule::answer_of_every_process)
                                for (auto& other : names) p->lease_voter.peer_reported(other, elected, time);
                        };
                    });
                if (p->elected && one_in(12))
                    request(p, to, [this, p, to, time](Process& q) -> std::function<void()> {
                        if (q.elected) return [] {};
                        q.lease_voter.grant(local_time(q), vote_duration);
                        return [p, to, time] {
                            if (p->elected) p->leader_lease->vote_granted(names[to], time, vote_duration);
                        };
                    });
            }
            if (p->elected && !p->leader_lease->valid(time) && one_in(5)) {
                p->leader_lease->revoke();
                p->elected = false;
            }
            // The leader key is gone, so any node that may campaign can become the leader.
            const bool may_campaign = omitted_rule == OmittedRule::wait_for_votes
                                          ? now > 20ms && !p->elected
                                          : p->lease_voter.may_campaign(time);
            if (!p->elected && may_campaign && one_in(20)) {
                // No node can win the key while the state service keeps the last lease.
                bool lease_exists = std::any_of(processes.begin(), processes.end(), [&](auto& q) {
                    return q && q->elected && local_time(*q) < q->leader_lease->expiry() + 25ms;
                });
                if (!lease_exists) lead(*p), ++terms;
            }
        }
        steps_with_two_leaders += std::count_if(processes.begin(), processes.end(), [&](auto& q) {
                                      return q && q->elected && q->leader_lease->valid(local_time(*q));
                                  }) > 1;
    }
};

struct Totals {
    int terms = 0, histories_with_two_leaders = 0;
};
Totals run_histories(int histories, OmittedRule omitted_rule) {
    Totals totals;
    for (int seed = 0; seed < histories; ++seed) {
        History history(static_cast<std::uint64_t>(seed), omitted_rule);
        for (std::size_t n = 0; n < 3; ++n) history.start(n);
        for (int i = 0; i < 1500; ++i) history.step();
        totals.terms += history.terms;
        totals.histories_with_two_leaders += history.steps_with_two_leaders > 0;
    }
    return totals;
}

}  // namespace

TEST(LeaseVotes, AtMostOneNodeHasAValidLeaseInRandomHistories) {
    auto totals = run_histories(1500, OmittedRule::none);
    EXPECT_EQ(totals.histories_with_two_leaders, 0);
    EXPECT_GT(totals.terms, 1500);
}

TEST(LeaseVotes, RandomHistoriesFindTwoLeadersIfARuleIsOmitted) {
    EXPECT_GT(run_histories(300, OmittedRule::wait_for_votes).histories_with_two_leaders, 0);
    EXPECT_GT(run_histories(300, OmittedRule::answer_of_every_process).histories_with_two_leaders, 0);
}

TEST(LeaseVoter, RestartedProcessMayCampaignOnceEveryOtherNodeHasReportedThatItDoesNotLead) {
    LeaseVoter voter(t0, 2500ms, {"b", "c"});
    EXPECT_FALSE(voter.may_campaign(t0 + 100ms));
    voter.peer_reported("b", false, t0 + 100ms);
    voter.peer_reported("c", true, t0 + 100ms);
    EXPECT_FALSE(voter.may_campaign(t0 + 200ms)) << "node c reported that it leads";
    EXPECT_TRUE(voter.may_campaign(t0 + 2600ms));
    LeaseVoter other_voter(t0, 2500ms, {"b", "c"});
    other_voter.peer_reported("b", false, t0 + 100ms);
    other_voter.peer_reported("c", false, t0 - 1ms);
    EXPECT_FALSE(other_voter.may_campaign(t0 + 200ms))
        << "node c answered a heartbeat of the predecessor process";
    other_voter.peer_reported("c", false, t0 + 150ms);
    EXPECT_TRUE(other_voter.may_campaign(t0 + 200ms));
    // Its own votes still keep it from campaigning.
    other_voter.grant(t0 + 300ms, 2500ms);
    EXPECT_FALSE(other_voter.may_campaign(t0 + 1s));
}
