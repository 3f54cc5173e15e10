// Golden files of settings: the platform's file, the operator's and a worker's, every key given, as they are
// read; and what is said of malformed ones.
#include <gtest/gtest.h>

#include "golden.hpp"
#include "quota/versions.hpp"
#include "settings/settings.hpp"
#include "worker/agent.hpp"

namespace barrowrun {

using testing::GoldenDirectory;
using testing::Json;

namespace {

Json platform_file() {
    return Json::parse(
        R"({"node_name":"barrow-0","area":"a","serve_on":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
      "members":[{"node_name":"barrow-1","area":"a","addr":"10.0.0.2:8081"}],
      "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
      "deployment":{"size":2,"zones":["a"],
        "teams":[{"name":"crew","cpus":1.5,"cpus_max":100.0,"gpus":2.0,"gpus_max":8.0},
                 {"name":"desk","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
        "objectives":[{"kind":"wait","class":"web","within_s":2.0,"times":1.5,"share":0.85}],
        "workers":{"report_s":3.0,"lease_s":22.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":47.0},
        "state":{"rps":200.0,"write_rps":80.0,"value_kb":31.0,"txn_ops":32},
        "cloud":{"rps":4.0,"list_lag_s":3.0},"quota":{"cores":0.12,"ram_mb":104.0,"max_sockets":2500},
        "clock_error_ms":25.5},"novel":1})");
}

Json operator_file() {
    return Json::parse(
        R"({"queue_bound":1000,"leader_hold_ms":4000,"promise_ms":3500,"idle_return_s":33.5,
      "keep_leases":false,"headroom_min":4,"headroom_max":17,"operator_key":"a key of many characters",
      "quotas":{"shrink_s":90,"nodes":[
        {"name":"lab","limit":{"cpus":60,"mem_gb":256},"guarantee":{"cpus":20,"gpus":4}},
        {"name":"slips","in":"lab","team":"crew","limit":{"cpus":30.5,"gpus":3},"guarantee":{"cpus":4}}]},
      "cells":{"self":"east","neighbours":{"west":{"nodes":["127.0.0.1:7101","127.0.0.1:7102"]}},
        "teams":{"desk":{"home":"east","run_in":["west"]}},
        "spill_after_s":12.5,"return_after_s":{"web":90.25}}})");
}

Json worker_file() {
    return Json::parse(
        R"({"name":"n-7","listen":"10.0.0.1:9","announce":"10.1.0.1:9","type":"g8","zone":"a","spot":true,
      "cpus":64.5,"gpus":8,"mem_gb":512.25,"controllers":{"barrow-0":"10.0.0.1:8080","barrow-1":"10.0.0.2:8080"},
      "depot":"/depot","state_dir":"/state","report_s":2.5,"lease_s":21,"gang_wait_s":31,"gang_peer_s":5,
      "output_mb":1.5})");
}

template <class Duration>
double milliseconds(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json cells_json(const cells::Settings& settings) {
    auto& [self, neighbours, teams, spill_after, return_after] = settings;
    Json out{{"self", self}, {"spill_after_ms", milliseconds(spill_after)}};
    for (auto& [name, nodes] : neighbours) out["neighbours"].push_back({name, nodes});
    for (auto& [team, rule] : teams) {
        auto& [home, run_in] = rule;
        out["teams"][team] = {home, run_in};
    }
    for (auto& [job_class, after] : return_after) out["return_after_ms"][job_class] = milliseconds(after);
    return out;
}

Json rules_json(const placement::Config& rules) {
    auto& [report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s, teams, objectives, queue_bound, txn_ops,
           value_bytes, quotas, shrink_s, idle_return_s, headroom_min, headroom_max] = rules;
    Json out{{"report_s", report_s},         {"lease_s", lease_s},
             {"gang_wait_s", gang_wait_s},   {"gang_peer_s", gang_peer_s},
             {"cancel_s", cancel_s},         {"queue_bound", queue_bound},
             {"txn_ops", txn_ops},           {"value_bytes", value_bytes},
             {"shrink_s", shrink_s},         {"idle_return_s", idle_return_s},
             {"headroom_min", headroom_min}, {"headroom_max", headroom_max}};
    for (auto& [name, limits] : teams) {
        auto& [cpus, gpus, cpus_max, gpus_max] = limits;
        out["teams"][name] = {cpus, gpus, cpus_max, gpus_max};
    }
    for (auto& [kind, job_class, within_s, times] : objectives)
        out["objectives"].push_back({kind, job_class, within_s, times});
    if (quotas)
        for (auto& node : *quotas) out["quotas"].push_back(to_json(node));
    return out;
}

Json settings_json(const settings::Settings& all) {
    auto& [node, zone, listen, peer_listen, cloud, state, members, rules, state_rps, state_write_rps,
           cloud_rps, list_lag_s, max_connections, operator_key, leader_hold, promise, clock_error,
           renews_leases, cells] = all;
    Json out{{"node", node},
             {"zone", zone},
             {"listen", listen},
             {"peer_listen", peer_listen},
             {"cloud", cloud},
             {"state", state},
             {"rules", rules_json(rules)},
             {"state_rps", state_rps},
             {"state_write_rps", state_write_rps},
             {"cloud_rps", cloud_rps},
             {"list_lag_s", list_lag_s},
             {"max_connections", max_connections},
             {"operator_key", operator_key},
             {"leader_hold_ms", milliseconds(leader_hold)},
             {"promise_ms", milliseconds(promise)},
             {"clock_error_ms", milliseconds(clock_error)},
             {"renews_leases", renews_leases}};
    for (auto& [name, address] : members) out["members"].push_back({name, address});
    if (cells) out["cells"] = cells_json(*cells);
    return out;
}

Json worker_json(const worker::WorkerSettings& settings) {
    auto& [name, listen, announce, type, zone, spot, capacity, times, controllers, depot, state_dir,
           output_bytes] = settings;
    auto& [cpus, gpus, mem_gb] = capacity;
    auto& [report, lease, gang_wait, gang_peer, least_between] = times;
    return {{"name", name},
            {"listen", listen},
            {"announce", announce},
            {"type", type},
            {"zone", zone},
            {"spot", spot},
            {"capacity", {cpus, gpus, mem_gb}},
            {"report_ms", milliseconds(report)},
            {"lease_ms", milliseconds(lease)},
            {"gang_wait_ms", milliseconds(gang_wait)},
            {"gang_peer_ms", milliseconds(gang_peer)},
            {"least_between_ms", milliseconds(least_between)},
            {"controllers", controllers},
            {"depot", depot},
            {"state_dir", state_dir},
            {"output_bytes", output_bytes}};
}

Json read_platform_file(const Json& file) {
    return settings_json(settings::parse_settings(file.dump()));
}

Json read_operator_file(const Json& file) {
    auto all = settings::parse_settings(platform_file().dump());
    settings::apply_operator_settings(all, file.dump());
    return settings_json(all);
}

Json read_worker_file(const Json& file) {
    return worker_json(worker::parse_worker_settings(file.dump()));
}

/// What each malformed variant of the file makes the reader say, or how the settings differ that it reads.
std::string malformed(const Json& file, Json (*read)(const Json&)) {
    std::string lines;
    const Json good = read(file);
    for (auto& [line, variant] : testing::malformed_variants(file)) {
        Json outcome;
        try {
            outcome = {{"accepted", Json::diff(good, read(variant))}};
        } catch (const std::exception& refusal) {
            outcome = refusal.what();
        }
        lines += line + ": " + outcome.dump() + "\n";
    }
    return lines;
}

}  // namespace

TEST(GoldenSettings, Platform) {
    GoldenDirectory golden("settings_platform");
    golden.document("file", platform_file());
    golden.document("read", read_platform_file(platform_file()));
    golden.text("malformed.txt", malformed(platform_file(), read_platform_file));
}

TEST(GoldenSettings, Operator) {
    GoldenDirectory golden("settings_operator");
    golden.document("file", operator_file());
    golden.document("read", read_operator_file(operator_file()));
    golden.document("read-nothing", read_operator_file(Json::object()));
    golden.text("malformed.txt", malformed(operator_file(), read_operator_file));
}

TEST(GoldenSettings, Worker) {
    GoldenDirectory golden("settings_worker");
    golden.document("file", worker_file());
    golden.document("read", read_worker_file(worker_file()));
    golden.text("malformed.txt", malformed(worker_file(), read_worker_file));
}

}  // namespace barrowrun
