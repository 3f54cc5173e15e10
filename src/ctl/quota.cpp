#include "ctl/quota.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <random>

#include "config/quotas.hpp"
#include "settings/settings.hpp"

namespace barrowrun::ctl {
using net::Task;
using net::http::verb;
using nlohmann::json;

namespace {

struct Shown {
    std::uint64_t version = 0;
    double over_limit_grace_s = 0;
    bool on = false;
    json nodes = json::array(), history = json::array();
    std::vector<quota::TeamQuota> teams;
};

// An answer that isn't one: what it says, and whether the asker is to blame.
struct Refused : std::runtime_error {
    bool bad;
    Refused(const std::string& why, bool b) : std::runtime_error(why), bad(b) {}
};

std::string why_not(const net::Reply& r) {
    if (r.status == 0) return "no node answers";
    return wire::text(r.body, "error").value_or("status " + std::to_string(r.status));
}

// All pages, of one version: changed meanwhile, they are read again.
Task<Shown> fetch(client::Client& client) {
    for (int tries = 0; tries < 10; ++tries) {
        Shown out;
        std::uint64_t since = 1;
        bool torn = false;
        for (bool more = true; more;) {
            auto reply =
                co_await client.request(verb::get, "/quota?since=" + std::to_string(since), std::nullopt);
            if (reply.status != 200) throw Refused(why_not(reply), reply.status == 404);
            const auto& b = reply.body;
            auto version = wire::count(b, "version").value_or(0);
            if (since == 1) {
                out.version = version;
                out.over_limit_grace_s = wire::amount(b, "shrink_s").value_or(0);
                out.on = wire::flag(b, "on").value_or(false);
                if (auto* h = wire::find(b, "history")) out.history = *h;
                if (auto* list = wire::find(b, "teams"))
                    for (auto& t : *list) {
                        // Written as nodes are, so read as one.
                        auto line = quota::parse_quota_entry(t);
                        if (line) out.teams.push_back({line->name, line->limit, line->guarantee});
                    }
            }
            torn |= version != out.version;
            if (auto* nodes = wire::find(b, "nodes"))
                for (auto& n : *nodes) out.nodes.push_back(n);
            more = wire::flag(b, "truncated").value_or(false) && !torn;
            since = wire::count(b, "next").value_or(since + 1);
        }
        if (!torn) co_return out;
    }
    throw Refused("the quotas change too often to be read whole", false);
}

template <class F>
int run_quota(const Options& options, F f) {
    auto site = find_site(options, false);
    try {
        return run([&](net::asio::io_context& io) -> Task<int> {
            client::Client client(io, site.nodes, {.total = std::chrono::seconds(20)});
            co_return co_await f(client);
        });
    } catch (const Refused& r) {
        std::fprintf(stderr, "barrowctl: %s\n", r.what());
        return r.bad ? bad_input : failed;
    }
}

double amount(const json& node, const char* what, const char* dim) {
    auto* m = wire::find(node, what);
    return m ? wire::amount(*m, dim).value_or(0) : 0;
}
bool has(const json& node, const char* what, const char* dim) {
    auto* m = wire::find(node, what);
    return m && wire::find(*m, dim);
}

std::string number(double x) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", x);
    return text;
}

std::string cell(const json& n, const char* what, const char* dim) {
    return has(n, what, dim) ? number(amount(n, what, dim)) : "-";
}

// One bar of CPUs: what the guarantee covers '#', what is borrowed '+', guaranteed and unused '.', up to the
// limit ' '; '|' where the limit is, '!' what is above it.
std::string bar(const json& n, double scale, int width) {
    const double used = amount(n, "used", "cpus"), promised = amount(n, "guarantee", "cpus");
    const bool limited = has(n, "limit", "cpus");
    const double limit = limited ? amount(n, "limit", "cpus") : scale;
    auto at = [&](double x) { return static_cast<int>(x / scale * width + 0.5); };
    std::string out(static_cast<std::size_t>(width) + 1, ' ');
    for (int i = 0; i < width; ++i) {
        char c = ' ';
        if (i < at(promised)) c = '.';
        if (i < at(std::min(used, promised)))
            c = '#';
        else if (i < at(used))
            c = limited && i >= at(limit) ? '!' : '+';
        out[static_cast<std::size_t>(i)] = c;
    }
    if (limited) {
        auto& c = out[static_cast<std::size_t>(std::min(at(limit), width))];
        if (c != '!') c = '|';
    }
    return out;
}

void print_tree(const Shown& s) {
    double scale = 1;
    std::size_t width = 4;
    for (auto& n : s.nodes) {
        scale = std::max(
            {scale, amount(n, "used", "cpus"), amount(n, "limit", "cpus"), amount(n, "guarantee", "cpus")});
        auto path = wire::text(n, "path").value_or("");
        auto depth = static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
        width = std::max(width, 2 * depth + path.size() - path.rfind('/') - 1);
    }
    std::printf(
        "version %llu; CPUs, the bar is %s wide: # guaranteed and used, + borrowed, . guaranteed, | limit, ! "
        "above "
        "it\n",
        static_cast<unsigned long long>(s.version), number(scale).c_str());
    // Parents come before their children, but level by level: by path they stand as a tree.
    std::vector<std::pair<std::string, const json*>> order;
    for (auto& n : s.nodes) {
        auto key = wire::text(n, "path").value_or("");
        std::replace(key.begin(), key.end(), '/', '\1');
        order.emplace_back(key, &n);
    }
    std::sort(order.begin(), order.end());
    for (auto& [key, n] : order) {
        auto path = wire::text(*n, "path").value_or("");
        auto depth = static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
        auto name = std::string(2 * depth, ' ') + path.substr(path.rfind('/') + 1);
        std::printf("%-*s [%s] %s used", static_cast<int>(width), name.c_str(), bar(*n, scale, 40).c_str(),
                    number(amount(*n, "used", "cpus")).c_str());
        auto waiting = wire::count(*n, "waiting").value_or(0);
        if (waiting) std::printf(", %llu tasks wait", static_cast<unsigned long long>(waiting));
        std::puts("");
    }
}

void print_table(const Shown& s) {
    std::size_t width = 4;
    for (auto& n : s.nodes) width = std::max(width, wire::text(n, "path").value_or("").size());
    std::printf("version %llu%s\n", static_cast<unsigned long long>(s.version),
                s.on ? "" : " (the platform's teams alone: nested quotas are not switched on)");
    std::printf("%-*s  %9s %9s %9s %9s  %7s %7s  %9s %9s  %7s %7s\n", static_cast<int>(width), "node", "cpus",
                "borrowed", "guarant.", "limit", "gpus", "limit", "mem_gb", "limit", "tasks", "waiting");
    for (auto& n : s.nodes) {
        const double used = amount(n, "used", "cpus");
        std::printf("%-*s  %9s %9s %9s %9s  %7s %7s  %9s %9s  %7llu %7llu", static_cast<int>(width),
                    wire::text(n, "path").value_or("").c_str(), number(used).c_str(),
                    number(std::max(0.0, used - amount(n, "guarantee", "cpus"))).c_str(),
                    cell(n, "guarantee", "cpus").c_str(), cell(n, "limit", "cpus").c_str(),
                    number(amount(n, "used", "gpus")).c_str(), cell(n, "limit", "gpus").c_str(),
                    number(amount(n, "used", "mem_gb")).c_str(), cell(n, "limit", "mem_gb").c_str(),
                    static_cast<unsigned long long>(wire::count(n, "tasks").value_or(0)),
                    static_cast<unsigned long long>(wire::count(n, "waiting").value_or(0)));
        // Lowered below what is in use: until that is met, what is in use is the limit in force.
        for (auto dim : quota::dimension_names)
            if (has(n, "limit", dim) && amount(n, "used", dim) > amount(n, "limit", dim) + 1e-6)
                std::printf("  shrinking, %s in force: %s", dim, number(amount(n, "used", dim)).c_str());
        std::puts("");
    }
}

quota::Change read_file(const std::string& file) {
    auto text = depot::read_all(file);
    if (!text) throw Usage(file + ": the file cannot be read");
    try {
        return config::parse_quotas_text(*text);
    } catch (const config::ConfigError& e) {
        throw Usage(file + ": " + e.what());
    }
}

// Says all that is wrong. True if nothing is.
bool check(const std::string& file, const quota::Change& c, const std::vector<quota::TeamQuota>& teams) {
    auto built = quota::Tree::build(c.set_entries, teams);
    for (auto& f : built.errors) std::fprintf(stderr, "%s: %s\n", file.c_str(), f.str().c_str());
    return built.tree != nullptr;
}

// The file's lines with their parents by path, as changes name them, parents first.
std::vector<quota::QuotaEntry> by_path(const std::vector<quota::QuotaEntry>& lines,
                                       const std::vector<quota::TeamQuota>& teams) {
    auto tree = quota::Tree::build(lines, teams).tree;
    std::vector<quota::QuotaEntry> out;
    for (auto& n : tree->nodes()) {
        if (n.entry_index == quota::no_node) continue;
        auto l = lines[n.entry_index];
        l.in = tree->node(n.parent).path;
        out.push_back(std::move(l));
    }
    return out;
}

std::string path_of(const quota::QuotaEntry& l) {
    return l.in.empty() ? l.name : l.in + "/" + l.name;
}

}  // namespace

int quota_show(const Options& options, const QuotaCall& call) {
    return run_quota(options, [&](client::Client& client) -> Task<int> {
        auto s = co_await fetch(client);
        if (options.json)
            print({{"version", s.version},
                   {"shrink_s", s.over_limit_grace_s},
                   {"on", s.on},
                   {"nodes", s.nodes}});
        else if (call.tree)
            print_tree(s);
        else
            print_table(s);
        co_return good;
    });
}

int quota_check(const Options& options, const QuotaCall& call) {
    auto c = read_file(call.file);
    auto verdict = [&](const std::vector<quota::TeamQuota>& teams) {
        if (!check(call.file, c, teams)) return bad_input;
        std::printf("%s: %zu nodes, nothing wrong\n", call.file.c_str(), c.set_entries.size());
        return good;
    };
    if (!call.settings.empty()) {
        try {
            return verdict(placement::quota_teams(settings::load_settings(call.settings).placement.teams));
        } catch (const settings::SettingsError& e) {
            throw Usage(call.settings + ": " + e.what());
        }
    }
    return run_quota(options, [&](client::Client& client) -> Task<int> {
        co_return verdict((co_await fetch(client)).teams);
    });
}

int quota_set(const Options& options, const QuotaCall& call) {
    auto file = read_file(call.file);
    const char* key = std::getenv("BARROWRUN_OPERATOR_KEY");
    if (!key || !*key) throw Usage("set BARROWRUN_OPERATOR_KEY to the operator_key of the site");
    return run_quota(options, [&](client::Client& client) -> Task<int> {
        auto s = co_await fetch(client);
        if (!check(call.file, file, s.teams)) co_return bad_input;
        // What differs from what holds now.
        std::map<std::string, quota::QuotaEntry> now;
        for (auto& n : s.nodes)
            if (auto* given = wire::find(n, "given"))
                if (auto l = quota::parse_quota_entry(*given)) {
                    auto path = wire::text(n, "path").value_or("");
                    l->in =
                        path.size() > l->name.size() ? path.substr(0, path.size() - l->name.size() - 1) : "";
                    now[path] = *l;
                }
        quota::Change change;
        for (auto& l : by_path(file.set_entries, s.teams)) {
            auto it = now.find(path_of(l));
            if (it == now.end() || !(it->second == l)) change.set_entries.push_back(l);
            if (it != now.end()) now.erase(it);
        }
        if (call.prune)
            for (auto it = now.rbegin(); it != now.rend(); ++it) change.removed_paths.push_back(it->first);
        else if (!now.empty())
            std::fprintf(
                stderr,
                "barrowctl: %zu nodes that the file doesn't name stay (%s first); --prune drops them\n",
                now.size(), now.begin()->first.c_str());
        if (file.over_limit_grace_s && *file.over_limit_grace_s != s.over_limit_grace_s)
            change.over_limit_grace_s = file.over_limit_grace_s;
        if (change.set_entries.empty() && change.removed_paths.empty() && !change.over_limit_grace_s) {
            std::printf("version %llu already says so\n", static_cast<unsigned long long>(s.version));
            co_return good;
        }
        change.base_version = s.version;
        change.author = call.by;
        change.reason = call.why;
        std::random_device random;
        change.nonce = std::to_string(static_cast<std::uint64_t>(random()) << 32 | random());
        json body = quota::to_json(change);
        body["key"] = std::string(key);
        if (body.dump().size() > wire::max_body)
            throw Refused(
                "the change is larger than a request may be: make it in parts, or put the file into the "
                "operator's settings and restart the nodes",
                true);
        auto reply = co_await client.request(verb::post, "/quota", std::move(body));
        if (reply.status == 200) {
            std::printf("version %llu: %zu nodes set, %zu dropped\n",
                        static_cast<unsigned long long>(wire::count(reply.body, "version").value_or(0)),
                        change.set_entries.size(), change.removed_paths.size());
            co_return good;
        }
        if (auto* faults = wire::find(reply.body, "faults")) {
            for (auto& f : *faults)
                if (f.is_string())
                    std::fprintf(stderr, "%s: %s\n", call.file.c_str(), f.get<std::string>().c_str());
            co_return bad_input;
        }
        throw Refused(why_not(reply), reply.status == 400 || reply.status == 403 || reply.status == 422);
    });
}

int quota_history(const Options& options) {
    return run_quota(options, [&](client::Client& client) -> Task<int> {
        auto s = co_await fetch(client);
        for (auto it = s.history.rbegin(); it != s.history.rend(); ++it) {
            auto e = quota::parse_change_summary(*it);
            if (!e) continue;
            if (options.json) {
                print(*it);
                continue;
            }
            auto at = static_cast<std::time_t>(e->at_ms / 1000);
            char when[40];
            std::strftime(when, sizeof when, "%F %T UTC", std::gmtime(&at));
            std::printf("version %llu  %s  %s  %zu set, %zu dropped  %s\n",
                        static_cast<unsigned long long>(e->version), when,
                        e->author.empty() ? "-" : e->author.c_str(), e->set_count, e->removed_count,
                        e->reason.c_str());
        }
        if (s.history.empty() && !options.json)
            std::puts("never changed: what the nodes' settings say holds");
        co_return good;
    });
}

int explain(const Options& options, const std::string& id) {
    if (!wire::valid_job_id(id)) throw Usage("'" + id + "': expected a job id, as in wk-000412");
    return run_quota(options, [&](client::Client& client) -> Task<int> {
        auto reply = co_await client.request(verb::get, "/submissions/" + id + "/explain", std::nullopt);
        if (reply.status != 200)
            throw Refused(id + ": " + (reply.status == 404 ? "nobody submitted such a job" : why_not(reply)),
                          false);
        if (options.json) {
            print(reply.body);
            co_return good;
        }
        auto why = wire::text(reply.body, "why").value_or("");
        auto waiting = wire::count(reply.body, "waiting").value_or(0);
        std::printf("%s %s", id.c_str(), wire::text(reply.body, "standing").value_or("").c_str());
        if (waiting)
            std::printf(", %llu tasks wait: %s", static_cast<unsigned long long>(waiting), why.c_str());
        std::puts("");
        co_return good;
    });
}

}  // namespace barrowrun::ctl
