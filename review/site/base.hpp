#pragma once
// What all stand-ins share: the lock, the record and the settings of the deployment.
#include <algorithm>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <vector>

#include "http.hpp"

namespace site {

// One lock for the state of all stand-ins. No stand-in holds it while it waits for the network.
inline std::mutex lock;
inline const TimePoint begun = Clock::now();
inline double now_s() {
    return Seconds(Clock::now() - begun).count();
}

inline FILE* record_file = nullptr;
// Adds a line to record.txt, with the time since the start in seconds.
[[gnu::format(printf, 1, 2)]] inline void record(const char* format, ...) {
    static std::mutex record_lock;
    std::lock_guard guard(record_lock);
    std::fprintf(record_file, "%8.3f ", now_s());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file, format, args);
    va_end(args);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

inline double random_between(double low, double high) {
    thread_local std::mt19937 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(low, high)(generator);
}

struct Deployment {
    double state_rps = 100, state_write_rps = 25, value_kb = 16;
    std::size_t txn_ops = 20;
    double cloud_rps = 8, list_lag_s = 8;
    double report_s = 2.5, lease_s = 16, gang_wait_s = 40, gang_peer_s = 5, cancel_s = 41;
    std::string team;
    std::vector<std::string> zones;
    std::vector<std::pair<std::string, std::string>> controllers;  // name, address for users and workers
};

// A bucket for requests a second that allows a burst of `burst` requests.
struct Bucket {
    double rate, burst, level = burst;
    TimePoint last = Clock::now();
    void fill() {
        auto now = Clock::now();
        level = std::min(burst, level + Seconds(now - last).count() * rate);
        last = now;
    }
};

inline std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto end = target.find('&', at + 1);
        auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        auto equals = part.find('=');
        if (equals != std::string::npos) out[part.substr(0, equals)] = part.substr(equals + 1);
        at = end;
    }
    return out;
}

}  // namespace site
