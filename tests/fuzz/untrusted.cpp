// What comes over the network or in files of others, byte by byte as it may come. With clang:
//   clang++ -std=c++20 -g -fsanitize=fuzzer,address,undefined -Isrc tests/fuzz/untrusted.cpp src/wire/*.cpp
//     src/depot/*.cpp src/lab/state_store.cpp src/store/*.cpp src/state/records.cpp src/quota/tree.cpp
//     src/quota/book.cpp src/leases/leases.cpp -DSPDLOG_HEADER_ONLY -lsqlite3 -lxxhash
// BuildResult by CI with a driver of its own, which plays a fixed number of changed messages.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "cells/offload.hpp"
#include "cells/records.hpp"
#include "depot/depot.hpp"
#include "lab/state_store.hpp"
#include "leases/leases.hpp"
#include "quota/versions.hpp"
#include "state/records.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

using namespace barrowrun;

namespace {

lab::StateStore& state_store() {
    static lab::StateStore s(":memory:", {}, TimePoint{} + std::chrono::seconds(1));
    return s;
}

// What is read is written back as something that is read again.
template <auto parse>
void reads_again(const wire::Json& body) {
    if (auto value = parse(body))
        if (!parse(to_json(*value))) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    auto body = wire::decode(std::string_view(reinterpret_cast<const char*>(data), size));
    if (!body) return 0;
    // What is read is written back as the same.
    if (auto commands = wire::parse_commands(*body)) {
        auto again = wire::parse_commands(wire::worker_heartbeat_answer(1, *commands));
        if (!again || again->size() != commands->size()) std::abort();
    }
    if (auto heartbeat = wire::parse_worker_heartbeat(*body))
        if (!wire::parse_worker_heartbeat(wire::worker_heartbeat_json(*heartbeat))) std::abort();
    auto job = wire::parse_submission(*body);
    if (auto* spec = std::get_if<wire::JobSpec>(&job))
        if (!std::holds_alternative<wire::JobSpec>(wire::parse_submission(wire::submission_json(*spec))))
            std::abort();
    if (auto status = wire::parse_status(*body))
        if (!wire::parse_status(wire::status_json(*status))) std::abort();
    wire::parse_provisioning_request(*body);
    wire::parse_machine_list(*body);
    if (auto p = state::parse_progress(*body, 50))
        if (!state::parse_progress(state::to_json(*p, 50), 50)) std::abort();
    // Changes of quotas, and the records that they leave.
    auto change = quota::parse_change(*body);
    if (auto* c = std::get_if<quota::Change>(&change)) {
        if (!std::holds_alternative<quota::Change>(quota::parse_change(quota::to_json(*c)))) std::abort();
        static const std::vector<quota::TeamQuota> teams{{"c", {10, {}, {}}, {2, {}, {}}}};
        auto next = quota::VersionedQuotas({{"a", "", "", {4, {}, {}}, {}}, {"t", "a", "c", {}, {}}})
                        .with_change(*c, teams, 0);
        if (auto* good = std::get_if<quota::VersionedQuotas::NextVersion>(&next)) {
            std::map<std::string, wire::Json> records;
            for (auto& w : good->writes) records[w.key] = w.value;
            auto read = quota::VersionedQuotas::from_records(records, 16 * 1024);
            if (!std::holds_alternative<quota::VersionedQuotas>(read) ||
                std::get<quota::VersionedQuotas>(read).entries() != good->book.entries())
                std::abort();
        }
    }
    quota::VersionedQuotas::from_records({{quota::head_key, *body}, {"quota/0a", *body}}, 16 * 1024);
    reads_again<leases::parse_heartbeat>(*body);
    reads_again<leases::parse_renewal_grant>(*body);
    reads_again<cells::parse_delegation_request>(*body);
    reads_again<cells::parse_delegation_reply>(*body);
    reads_again<cells::parse_capacity_digest>(*body);
    reads_again<cells::parse_origin>(*body);
    reads_again<cells::parse_executor>(*body);
    cells::parse_closed_epoch(*body);
    state::parse_finished_record(*body);
    state::parse_assignment_shard(*body);
    try {
        depot::parse_description(*body);
    } catch (const std::exception&) {
        // one line that names what is wrong
    }
    auto answer = state_store().multi(*body, size);
    if (answer.status != 200 && answer.status != 400 && answer.status != 409) std::abort();
    return 0;
}
