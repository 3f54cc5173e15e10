// Histories of three nodes while the state service has lost the leader's lease: processes end and come back,
// messages are late or held, clocks drift. Nobody may become leader while another counts on lease votes.
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

// `mistake`: which rule is left out, to see that the check finds it.
enum class Mistake { none, not_heard, freed_by_any };

struct History {
    struct Process {
        std::size_t node;
        double rate;  // of its clock
        LeaseVoter lease_voter;
        bool elected = false;
        std::optional<LeaderLease> leader_lease;
        Process(std::size_t n, double r, TimePoint begun, const std::set<std::string>& others)
            : node(n), rate(r), lease_voter(begun, vote_duration, others) {}
    };
    struct Message {
        Clock::duration due;
        std::function<void()> arrive;
    };
    std::mt19937_64 random;
    Mistake mistake;
    std::array<std::shared_ptr<Process>, 3> at;
    std::array<Clock::duration, 3> back{};
    std::vector<Message> under_way;
    Clock::duration now{};
    int taken = 0, two = 0;

    History(std::uint64_t seed, Mistake m) : random(seed), mistake(m) {}
    bool one_in(std::uint64_t n) { return random() % n == 0; }
    TimePoint local(const Process& p) const {
        return t0 + std::chrono::duration_cast<Clock::duration>(now * p.rate);
    }
    void start(std::size_t n) {
        std::set<std::string> others(names.begin(), names.end());
        others.erase(names[n]);
        const double rate = 1 + (static_cast<double>(random() % 1001) - 500) * 1e-6;
        at[n] = std::make_shared<Process>(
            n, rate, t0 + std::chrono::duration_cast<Clock::duration>(now * rate), others);
    }
    void later(std::function<void()> f) {
        auto delay = one_in(8) ? std::chrono::milliseconds(random() % 6000)
                               : std::chrono::milliseconds(1 + random() % 60);
        under_way.push_back({now + delay, std::move(f)});
    }
    void lead(Process& p) {
        p.elected = true;
        p.leader_lease.emplace(2);
        p.leader_lease->extended(local(p), 1s);
    }
    // A question by the process, and its answer, which comes only while it is the same process.
    void ask(const std::shared_ptr<Process>& from, std::size_t to,
             std::function<std::function<void()>(Process&)> question) {
        later([this, from, to, question] {
            if (!at[to]) return;
            auto answer = question(*at[to]);
            later([this, from, answer] {
                if (at[from->node] == from) answer();
            });
        });
    }
    void step() {
        now += 20ms;
        for (std::size_t i = 0; i < under_way.size();) {
            if (under_way[i].due > now) {
                ++i;
                continue;
            }
            auto f = std::move(under_way[i].arrive);
            under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(i));
            f();
        }
        if (one_in(600))  // all at once
            for (std::size_t n = 0; n < 3; ++n) at[n].reset(), back[n] = now + 20ms * (random() % 50);
        for (std::size_t n = 0; n < 3; ++n) {
            if (!at[n]) {
                if (now >= back[n]) start(n);
                continue;
            }
            if (one_in(400)) {
                at[n].reset();
                back[n] = now + 20ms * (random() % 100);
                continue;
            }
            auto p = at[n];
            const auto time = local(*p);
            for (std::size_t to = 0; to < 3; ++to) {
                if (to == n) continue;
                if (one_in(10))
                    ask(p, to, [this, p, to, time](Process& q) -> std::function<void()> {
                        const bool elected = q.elected;
                        return [this, p, to, time, elected] {
                            p->lease_voter.peer_reported(names[to], elected, time);
                            if (mistake == Mistake::freed_by_any)
                                for (auto& other : names) p->lease_voter.peer_reported(other, elected, time);
                        };
                    });
                if (p->elected && one_in(12))
                    ask(p, to, [this, p, to, time](Process& q) -> std::function<void()> {
                        if (q.elected) return [] {};
                        q.lease_voter.grant(local(q), vote_duration);
                        return [p, to, time] {
                            if (p->elected) p->leader_lease->vote_granted(names[to], time, vote_duration);
                        };
                    });
            }
            if (p->elected && !p->leader_lease->valid(time) && one_in(5)) {
                p->leader_lease->revoke();
                p->elected = false;
            }
            // The key is gone, so whoever is free may take the lead.
            const bool free =
                mistake == Mistake::not_heard ? now > 20ms && !p->elected : p->lease_voter.may_campaign(time);
            if (!p->elected && free && one_in(20)) {
                // As long as the service keeps the last lease nobody can.
                bool held = std::any_of(at.begin(), at.end(), [&](auto& q) {
                    return q && q->elected && local(*q) < q->leader_lease->expiry() + 25ms;
                });
                if (!held) lead(*p), ++taken;
            }
        }
        two += std::count_if(at.begin(), at.end(), [&](auto& q) {
                   return q && q->elected && q->leader_lease->valid(local(*q));
               }) > 1;
    }
};

struct Sum {
    int taken = 0, two = 0;
};
Sum play(int histories, Mistake mistake) {
    Sum out;
    for (int seed = 0; seed < histories; ++seed) {
        History h(static_cast<std::uint64_t>(seed), mistake);
        for (std::size_t n = 0; n < 3; ++n) h.start(n);
        for (int i = 0; i < 1500; ++i) h.step();
        out.taken += h.taken;
        out.two += h.two > 0;
    }
    return out;
}

}  // namespace

TEST(LeaseVotes, AtMostOneNodeHoldsAValidLease) {
    auto sum = play(1500, Mistake::none);
    EXPECT_EQ(sum.two, 0);
    EXPECT_GT(sum.taken, 1500);
}

TEST(LeaseVotes, TheHistoriesFindOmittedRules) {
    EXPECT_GT(play(300, Mistake::not_heard).two, 0);
    EXPECT_GT(play(300, Mistake::freed_by_any).two, 0);
}

TEST(LeaseVoter, IsFreedOnceEveryOtherNodeHasReportedThatItDoesNotLead) {
    LeaseVoter a(t0, 2500ms, {"b", "c"});
    EXPECT_FALSE(a.may_campaign(t0 + 100ms));
    a.peer_reported("b", false, t0 + 100ms);
    a.peer_reported("c", true, t0 + 100ms);
    EXPECT_FALSE(a.may_campaign(t0 + 200ms)) << "one leads";
    EXPECT_TRUE(a.may_campaign(t0 + 2600ms));
    LeaseVoter late(t0, 2500ms, {"b", "c"});
    late.peer_reported("b", false, t0 + 100ms);
    late.peer_reported("c", false, t0 - 1ms);
    EXPECT_FALSE(late.may_campaign(t0 + 200ms)) << "an answer to a predecessor's question";
    late.peer_reported("c", false, t0 + 150ms);
    EXPECT_TRUE(late.may_campaign(t0 + 200ms));
    // Its own votes bind as ever.
    late.grant(t0 + 300ms, 2500ms);
    EXPECT_FALSE(late.may_campaign(t0 + 1s));
}
