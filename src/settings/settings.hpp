#pragma once
// The platform's settings file, checked. Unknown fields are ignored.
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
    // Who changes quotas while running must know it; empty: nobody may.
    std::string operator_key;
    std::chrono::milliseconds leader_lease{3000}, lease_vote{2500};
    // How far a machine's time of day may be off.
    std::chrono::milliseconds max_clock_error{1000};
    // Whether a node that is cut off together with workers keeps their leases for a while (src/leases).
    bool renews_leases = true;
    // Other cells, and whose work may go where; absent: there are none.
    std::optional<cells::Settings> cells;
    Clock::duration lease_renewal_period() const;
    std::set<std::string> member_names() const;
};

// Throws SettingsError with one line that names the field.
Settings parse_settings(const std::string& text);
Settings load_settings(const std::string& path);
// Takes over an operator's own settings, checked against schema/operator.schema.json.
void apply_operator_settings(Settings& settings, const std::string& text);
std::string read_file(const std::string& path);

}  // namespace barrowrun::settings
