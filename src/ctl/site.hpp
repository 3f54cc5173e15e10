#pragma once
// Which site is spoken to, and in what words answers are given.
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "client/client.hpp"
#include "depot/depot.hpp"

namespace barrowrun::ctl {

// Bad input: one line, status 2.
struct Usage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

constexpr int good = 0, failed = 1, bad_input = 2;

struct Options {
    std::string client_file, nodes, depot, team;
    bool json = false;
};

struct SiteAccess {
    std::vector<std::string> nodes;
    std::string depot, team;
};

// From options, else BARROWRUN_SITE, BARROWRUN_DEPOT and BARROWRUN_TEAM, else the client file. Throws Usage.
SiteAccess find_site(const Options& options, bool needs_depot);

// Runs one coroutine to its end on an io_context of its own.
template <class F>
int run(F&& f) {
    net::asio::io_context io{1};
    int status = failed;
    std::exception_ptr trouble;
    net::asio::co_spawn(io, f(io), [&](std::exception_ptr e, int s) {
        trouble = e;
        status = s;
        io.stop();
    });
    io.run();
    if (trouble) std::rethrow_exception(trouble);
    return status;
}

void print(const nlohmann::json& line);  // of --json

}  // namespace barrowrun::ctl
