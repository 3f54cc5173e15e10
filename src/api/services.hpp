#pragma once
// Dependencies shared by the components of a controller node: clients, settings and the election.
#include <vector>

#include "election/election.hpp"
#include "fleet/cloud_client.hpp"
#include "leases/leases.hpp"
#include "net/http_client.hpp"
#include "settings/settings.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

// Holds references only. The node owns the objects and outlives every term of leadership.
struct Services {
    net::asio::io_context& io;
    const settings::Settings& settings;
    state::StateClient& state;
    fleet::CloudClient& cloud;
    net::HttpClient& workers;
    net::HttpClient& peers;
    election::Election& election;
    std::vector<wire::MachineType>& catalog;  // machine types as last read
    const leases::LeaseRenewer& renewer;      // worker leases that this node may renew before recovery
};

}  // namespace barrowrun::api
