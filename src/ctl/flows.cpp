#include "ctl/flows.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <cstdio>

#include "ctl/progress.hpp"
#include "workflow/make/makefile.hpp"
#include "workflow/snakemake/snakefile.hpp"

namespace barrowrun::ctl {
using namespace std::chrono_literals;
using net::Task;
using nlohmann::json;
using workflow::FlowState;

namespace {

json to_json(const FlowCall& c) {
    auto texts = [](const std::vector<std::string>& list) {
        json out = json::array();
        for (auto& s : list) out.push_back(depot::to_text(s));
        return out;
    };
    return json{{"kind", c.kind},
                {"file", depot::to_text(c.file)},
                {"targets", texts(c.targets)},
                {"variables", texts(c.variables)},
                {"keep_going", c.keep_going},
                {"always", c.always},
                {"changed_recipes", c.changed_recipes},
                {"most_at_once", c.most_at_once}};
}

FlowCall parse_call(const std::string& text, const std::string& dir) {
    auto j = json::parse(text);
    auto texts = [](const json& list) {
        std::vector<std::string> out;
        for (auto& s : list) out.push_back(depot::from_text(s.get<std::string>()));
        return out;
    };
    FlowCall c;
    c.kind = j.at("kind");
    c.dir = dir;
    c.file = depot::from_text(j.at("file").get<std::string>());
    c.targets = texts(j.at("targets"));
    c.variables = texts(j.at("variables"));
    c.keep_going = j.at("keep_going");
    c.always = j.at("always");
    c.changed_recipes = j.at("changed_recipes");
    c.most_at_once = j.at("most_at_once");
    return c;
}

std::string whole_dir(const std::string& dir) {
    std::error_code ec;
    auto p = std::filesystem::canonical(dir, ec);
    if (ec || !std::filesystem::is_directory(p)) throw Usage(dir + ": there is no such directory");
    return p.string();
}

std::unique_ptr<workflow::Rules> read_rules(const FlowCall& c,
                                            const std::function<void(const std::string&)>& say) {
    if (c.kind == "snake")
        return std::make_unique<workflow::snakemake::Snakefile>(
            workflow::snakemake::SnakeOptions{c.dir, c.file, c.targets, c.variables});
    return std::make_unique<workflow::make::Makefile>(
        workflow::make::MakeOptions{c.dir, c.file, c.targets, c.variables, say});
}

int status_of(FlowState s) {
    return s == FlowState::done ? good : failed;
}

// Another process drives the same flow: its end is waited for, and is the answer here, too.
int attach(const Options& options, workflow::Journal& journal, const workflow::FlowRecord& flow) {
    if (!options.json) std::printf("flow %s is being driven already: waiting for it\n", flow.id.c_str());
    std::fflush(stdout);
    for (;;) {
        auto now = journal.find(flow.id);
        if (now && now->state != FlowState::open) {
            if (options.json)
                print({{"flow", flow.id}, {"state", workflow::flow_state_name(now->state)}});
            else
                std::printf("flow %s %s\n", flow.id.c_str(), workflow::flow_state_name(now->state));
            return status_of(now->state);
        }
        if (workflow::DriverLock::take(journal.dir())) return -1;  // its driver is gone: go on in its place
        ::usleep(200'000);
    }
}

int drive(const Options& options, const FlowCall& call, workflow::Rules& rules, workflow::Journal& journal,
          const workflow::FlowRecord& record, const SiteAccess& site) {
    Progress progress(options.json, call.quiet);
    return run([&](net::asio::io_context& io) -> Task<int> {
        client::Client client(io, site.nodes);
        workflow::DriverSettings settings;
        settings.dir = call.dir;
        settings.team = site.team;
        settings.options = {call.keep_going, call.always, call.dry_run, call.most_at_once};
        settings.changed_recipes = call.changed_recipes;
        workflow::Driver driver(io, client, depot::Depot(site.depot), journal, rules, record, settings);
        workflow::Counts counts;
        driver.on_report = [&](auto& r) { call.dry_run ? progress.dry_run(r) : progress.report(r); };
        driver.on_counts = [&](auto& c) {
            counts = c;
            if (!call.dry_run) progress.counts(c);
        };
        driver.on_note = [&](auto& line) { progress.note(line); };
        // Asked to end, a flow is cancelled; killed or hung up on, it can be resumed.
        net::asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&](boost::system::error_code ec, int) {
            if (!ec) driver.cancel();
        });
        auto state = co_await driver.run();
        signals.cancel();
        if (!call.dry_run) progress.end(record.id, state, counts);
        co_return status_of(state);
    });
}

}  // namespace

int flow(const Options& options, FlowCall call) {
    call.dir = whole_dir(call.dir);
    auto say = [&](const std::string& line) {
        if (!options.json) std::printf("%s\n", line.c_str());
    };
    std::unique_ptr<workflow::Rules> rules;
    try {
        rules = read_rules(call, say);
    } catch (const workflow::RuleError& e) {
        throw Usage(e.what());
    }
    for (auto& w : rules->graph().warnings) std::fprintf(stderr, "barrowctl: %s\n", w.c_str());
    if (call.dry_run) {
        workflow::Journal journal(call.dir);
        SiteAccess nowhere{
            {"127.0.0.1:1"}, std::filesystem::temp_directory_path() / "barrowrun-nowhere", "none"};
        return drive(options, call, *rules, journal, {}, nowhere);
    }
    auto site = find_site(options, true);
    workflow::Journal journal(call.dir);
    auto args = to_json(call).dump();
    auto key = depot::text_hash(args);
    for (;;) {
        auto lock = workflow::DriverLock::take(call.dir);
        auto open = journal.unfinished();
        if (open && open->key != key)
            throw Usage(
                lock ? fmt::format("flow {} of this directory was begun with other words and is unfinished: "
                                   "`barrowctl flow resume {}` or `barrowctl flow cancel {}` first",
                                   open->id, open->id, open->id)
                     : fmt::format("flow {} is at work in this directory: wait for it, or `barrowctl flow "
                                   "cancel {}`",
                                   open->id, open->id));
        if (lock) {
            if (open && !options.json) std::printf("flow %s goes on from where it was\n", open->id.c_str());
            auto record = journal.open(key, call.kind, args, workflow::now_ms());
            return drive(options, call, *rules, journal, record, site);
        }
        if (!open) {
            ::usleep(100'000);  // its driver is about to begin, or to end
            continue;
        }
        if (int status = attach(options, journal, *open); status >= 0) return status;
    }
}

int flow_list(const Options& options, const std::string& dir) {
    workflow::Journal journal(whole_dir(dir));
    for (auto& f : journal.flows()) {
        if (options.json)
            print({{"flow", f.id},
                   {"kind", f.kind},
                   {"state", workflow::flow_state_name(f.state)},
                   {"total", f.total},
                   {"done", f.done},
                   {"failed", f.failed},
                   {"args", json::parse(f.args)}});
        else
            std::printf("%s  %-5s  %-9s  %lld of %lld, %lld failed\n", f.id.c_str(), f.kind.c_str(),
                        workflow::flow_state_name(f.state), static_cast<long long>(f.done),
                        static_cast<long long>(f.total), static_cast<long long>(f.failed));
    }
    return good;
}

namespace {
workflow::FlowRecord find_flow(workflow::Journal& journal, const std::string& id) {
    auto f = journal.find(id);
    if (!f)
        throw Usage("'" + id +
                    "': no flow of this directory, or more than one; `barrowctl flow list` shows them");
    return *f;
}
}  // namespace

int flow_show(const Options& options, const std::string& dir, const std::string& id) {
    workflow::Journal journal(whole_dir(dir));
    auto f = find_flow(journal, id);
    if (!options.json)
        std::printf("flow %s (%s) %s\n", f.id.c_str(), f.kind.c_str(), workflow::flow_state_name(f.state));
    for (auto& n : journal.nodes(f.id)) {
        const char* state = n.state == workflow::NodeState::done     ? "done"
                            : n.state == workflow::NodeState::failed ? "failed"
                                                                     : "started";
        if (options.json)
            print({{"target", depot::to_text(n.node)},
                   {"job", n.job},
                   {"state", state},
                   {"why", depot::to_text(n.note)}});
        else
            std::printf("%-8s %s  %s%s%s\n", state, n.job.c_str(), n.node.c_str(), n.note.empty() ? "" : ": ",
                        n.note.c_str());
    }
    return f.state == FlowState::failed || f.state == FlowState::cancelled ? failed : good;
}

int flow_cancel(const Options& options, const std::string& dir, const std::string& id) {
    auto whole = whole_dir(dir);
    workflow::Journal journal(whole);
    auto f = find_flow(journal, id);
    if (f.state != FlowState::open) {
        std::printf("flow %s is %s\n", f.id.c_str(), workflow::flow_state_name(f.state));
        return f.state == FlowState::cancelled ? good : failed;
    }
    journal.ask_cancel(f.id);
    // Its driver sees to it; if there is none, this is it.
    for (;;) {
        auto lock = workflow::DriverLock::take(whole);
        if (lock) break;
        if (auto now = journal.find(f.id); now && now->state != FlowState::open) {
            std::printf("flow %s %s\n", f.id.c_str(), workflow::flow_state_name(now->state));
            return now->state == FlowState::cancelled ? good : failed;
        }
        ::usleep(100'000);
    }
    auto site = find_site(options, true);
    depot::Depot depot(site.depot);
    return run([&](net::asio::io_context& io) -> Task<int> {
        client::Client client(io, site.nodes);
        for (auto& n : journal.nodes(f.id)) {
            if (n.state != workflow::NodeState::started) continue;
            depot::Final given_up;
            given_up.why = "cancelled";
            bool ours = depot.decide({n.job, 0}, given_up);
            if (!ours) {
                auto final = depot.final({n.job, 0});
                if (final && final->published) depot.settle({n.job, 0}, *final);
            }
            auto o = co_await client.cancel(n.job);
            if (o.answer == client::Answer::no_answer) {
                std::fprintf(stderr, "barrowctl: %s can't be cancelled: %s\n", n.job.c_str(), o.why.c_str());
                co_return failed;
            }
            workflow::NodeRecord record{n.node, n.job,
                                        ours ? workflow::NodeState::failed : workflow::NodeState::done,
                                        ours ? "cancelled" : ""};
            journal.finished(f.id, record);
            depot::sweep_stages(whole, {n.job, 0});
        }
        journal.close(f.id, FlowState::cancelled, workflow::now_ms());
        std::printf("flow %s cancelled\n", f.id.c_str());
        co_return good;
    });
}

int flow_resume(const Options& options, const std::string& dir, const std::string& id) {
    auto whole = whole_dir(dir);
    workflow::Journal journal(whole);
    auto f = find_flow(journal, id);
    if (f.state != FlowState::open) throw Usage("flow " + f.id + " is " + workflow::flow_state_name(f.state));
    return flow(options, parse_call(f.args, whole));
}

}  // namespace barrowrun::ctl
