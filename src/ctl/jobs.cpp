#include "ctl/jobs.hpp"

#include <cstdio>
#include <filesystem>
#include <random>

#include "config/schema.hpp"
#include "ctl/job_schema.hpp"

namespace barrowrun::ctl {
using client::Answer;
using net::Task;
using nlohmann::json;

namespace {

depot::Description read_job(const std::string& file, const SiteAccess& site) {
    auto text = depot::read_all(file);
    if (!text) throw Usage(file + ": the file cannot be read");
    json j;
    try {
        j = config::parse_validated(*text, job_schema);
    } catch (const config::ConfigError& e) {
        throw Usage(file + ": " + e.what());
    }
    depot::Description d;
    auto& s = d.spec;
    if (j.contains("id")) {
        s.id = j["id"];
    } else {
        std::random_device random;
        auto n = (static_cast<std::uint64_t>(random()) << 32 | random()) % 1'000'000'000'000'000'000ULL;
        s.id = "wk-" + std::to_string(n);
    }
    s.job_class = j.value("class", "batch");
    s.team = j.value("team", site.team);
    auto sort = j.value("sort", "array");
    s.kind = sort == "gang"      ? wire::JobKind::gang
             : sort == "service" ? wire::JobKind::service
                                 : wire::JobKind::array;
    s.priority = wire::priority_of(j.value("rank", "normal")).value();
    s.tasks = j.value("tasks", 1u);
    s.need = {j.value("cpus", 1.0), j.value("gpus", 0.0), j.value("mem_gb", 0.25)};
    s.image = "none";
    if (j.contains("types")) s.types = j["types"].get<std::vector<std::string>>();
    if (j.contains("zone")) s.zone = j["zone"];
    s.one_zone = j.value("one_zone", false);
    s.spread = j.value("spread", false);
    s.spot_ok = j.value("spot", false);
    s.estimate_s = j.value("estimate_s", s.kind == wire::JobKind::service ? 0.0 : 60.0);
    s.checkpoint_s = j.value("checkpoint_s", 0.0);
    s.save_s = j.value("save_s", 0.0);
    if (j.contains("deadline_s")) s.deadline_s = j["deadline_s"];
    if (j.contains("retries")) s.retries = j["retries"];
    s.project = j.value("project", "");
    d.steps = {{j["command"], false, false}};
    d.dir = std::filesystem::absolute(j.value("dir", ".")).lexically_normal().string();
    if (j.contains("env")) d.env = j["env"].get<std::map<std::string, std::string>>();
    d.limit_memory = j.value("limit_memory", false);
    return d;
}

void show(const Options& options, const wire::JobStatus& s) {
    if (options.json) {
        json line{{"job", s.id},
                  {"state", wire::job_state_name(s.state)},
                  {"done", s.done},
                  {"running", s.running}};
        if (s.errors) line["errors"] = s.errors->errors;
        print(line);
        return;
    }
    std::printf("%s %s, %llu tasks done, %llu running", s.id.c_str(), wire::job_state_name(s.state),
                static_cast<unsigned long long>(s.done), static_cast<unsigned long long>(s.running));
    if (s.errors) std::printf(", %llu failures", static_cast<unsigned long long>(s.errors->errors));
    if (s.errors && s.errors->last)
        std::printf(" (last: %s on %s)", s.errors->last->task.c_str(), s.errors->last->machine.c_str());
    std::puts("");
}

int status_of(wire::JobState s) {
    return s == wire::JobState::failed || s == wire::JobState::cancelled ? failed : good;
}

int say_no(const std::string& id, const client::Outcome& o) {
    std::fprintf(stderr, "barrowctl: %s: %s\n", id.c_str(),
                 o.answer == Answer::unknown ? "nobody submitted such a job" : o.why.c_str());
    return o.answer == Answer::refused ? bad_input : failed;
}

// Until it is over.
Task<int> follow(const Options& options, client::Client& client, std::string id) {
    for (;;) {
        auto o = co_await client.status(id);
        if (o.answer == Answer::accepted && o.status.state != wire::JobState::queued &&
            o.status.state != wire::JobState::running) {
            show(options, o.status);
            co_return status_of(o.status.state);
        }
        co_await net::sleep_for(std::chrono::milliseconds(300));
    }
}

}  // namespace

int submit(const Options& options, const std::string& file, bool wait) {
    auto site = find_site(options, true);
    auto what = read_job(file, site);
    depot::Depot depot(site.depot);
    depot.describe(what);
    return run([&](net::asio::io_context& io) -> Task<int> {
        client::Client client(io, site.nodes);
        auto o = co_await client.submit(what.spec);
        if (o.answer != Answer::accepted) co_return say_no(what.spec.id, o);
        if (wait) co_return co_await follow(options, client, what.spec.id);
        show(options, o.status);
        co_return good;
    });
}

int status(const Options& options, const std::string& id, bool output) {
    if (!wire::valid_job_id(id)) throw Usage("'" + id + "': expected a job id, as in wk-000412");
    auto site = find_site(options, output);
    return run([&](net::asio::io_context& io) -> Task<int> {
        client::Client client(io, site.nodes);
        auto o = co_await client.status(id);
        if (o.answer != Answer::accepted) co_return say_no(id, o);
        show(options, o.status);
        if (output) {
            depot::Depot depot(site.depot);
            if (auto r = depot.last_result({id, 0}))
                std::fputs(depot.output({id, 0}, r->attempt, 1 << 20).value_or("").c_str(), stdout);
        }
        co_return status_of(o.status.state);
    });
}

int cancel(const Options& options, const std::string& id) {
    if (!wire::valid_job_id(id)) throw Usage("'" + id + "': expected a job id, as in wk-000412");
    auto site = find_site(options, false);
    return run([&](net::asio::io_context& io) -> Task<int> {
        client::Client client(io, site.nodes);
        auto o = co_await client.cancel(id);
        if (o.answer != Answer::accepted) co_return say_no(id, o);
        show(options, o.status);
        co_return good;
    });
}

}  // namespace barrowrun::ctl
