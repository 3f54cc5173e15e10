#pragma once
// The jobs that users submit: what workers need to run their tasks, and what was seen of them.
#include <functional>
#include <set>

#include "base.hpp"

namespace site {

struct Job {
    json spec;
    std::function<double(std::uint32_t)> run_s;  // run time of a task; daemons run until they are stopped
    double image_s = 0.3;                        // time to fetch its image
    std::set<std::uint32_t> done, ever_started;
    double accepted_at = -1, cancelled_at = -1;  // when the user was told; -1: not yet
    std::string id() const { return spec["name_id"]; }
    std::uint32_t tasks() const { return spec["parcels"]; }
    bool gang() const { return spec["sort"] == "gang"; }
    bool daemon() const { return spec["sort"] == "daemon"; }
};

inline std::map<std::string, Job> jobs;  // by id; guarded by `lock`

// A submission with the usual values; the caller changes what it needs.
inline json submission(const std::string& id, const std::string& docket, const std::string& team, const std::string& sort,
                       std::uint32_t tasks, double cpus, double mem_gb) {
    return {{"name_id", id},         {"docket", docket}, {"crew", team},     {"sort", sort},      {"rank", "normal"},
            {"parcels", tasks},      {"vcpus", cpus},    {"cards", 0.0},     {"mem_gb", mem_gb},  {"cargo", "img-" + docket},
            {"image_gb", 0.1},       {"builds", nullptr}, {"yard", nullptr}, {"same_place", false}, {"spread", false},
            {"loaners", false},      {"haul_s", 30.0},   {"waymark_s", 0.0}, {"stow_s", 0.0},     {"due_s", nullptr}};
}

}  // namespace site
