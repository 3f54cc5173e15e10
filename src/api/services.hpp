#pragma once
// What the parts of a controller node share: clients of the services around it, its settings, its election.
#include <vector>

#include "election/election.hpp"
#include "fleet/cloud_client.hpp"
#include "leases/leases.hpp"
#include "net/http_client.hpp"
#include "settings/settings.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

// References only: the node owns all of it, and outlives every term of leadership.
struct Services {
    net::asio::io_context& io;
    const settings::Settings& settings;
    state::StateClient& state;
    fleet::CloudClient& cloud;
    net::HttpClient& workers;
    net::HttpClient& peers;
    election::Election& election;
    std::vector<wire::MachineType>& catalog;  // machine types as last known
    const leases::LeaseRenewer& renewer;      // what this node knows of cancelled jobs without the records
};

}  // namespace barrowrun::api
