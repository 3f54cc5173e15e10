#pragma once
// The validated contents of the platform's settings file and of the operator's settings. Unknown fields of
// the platform's file are ignored.
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "cells/settings.hpp"
#include "leases/leases.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::settings {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Member {
    std::string name, address;
};

struct Settings {
    std::string node_name, zone, listen_address, peer_listen_address, cloud_address, state_service_address;
    std::vector<Member> members;
    placement::Config placement;
    double state_requests_per_s = 100, state_writes_per_s = 50, cloud_requests_per_s = 2, list_lag_s = 5;
    double max_connections = 500;
    // Required of requests that change quotas at run time; empty: such changes are refused.
    std::string operator_key;
    std::chrono::milliseconds leader_lease{3000}, lease_vote{2500};
    // Maximum error of a machine's wall clock.
    std::chrono::milliseconds max_clock_error{1000};
    // Whether a node that has lost the leader and the state service renews the leases of the workers of its
    // zone for a limited time (src/leases).
    bool renews_leases = true;
    // Other cells, and which teams' jobs may be delegated to them; absent: there are no other cells.
    std::optional<cells::Settings> cells;
    Clock::duration lease_renewal_period() const;
    std::set<std::string> member_names() const;
};

// Parses the platform's settings. Throws SettingsError with one line that names the field.
Settings parse_settings(const std::string& text);
Settings load_settings(const std::string& path);
// Applies the operator's settings, which are validated against schema/operator.schema.json. Throws
// SettingsError.
void apply_operator_settings(Settings& settings, const std::string& text);
std::string read_file(const std::string& path);

}  // namespace barrowrun::settings
