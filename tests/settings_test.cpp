#include "settings/settings.hpp"

#include <gtest/gtest.h>

using namespace barrowrun::settings;
using barrowrun::wire::Json;

namespace {
Json valid_settings() {
    return Json::parse(
        R"({"node_name":"barrow-0","area":"a","serve_on":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
      "members":[{"node_name":"barrow-1","area":"a","addr":"10.0.0.2:8081"}],
      "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
      "deployment":{"size":2,"zones":["a"],"teams":[{"name":"crew","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
        "objectives":[{"kind":"wait","class":"web","within_s":2.0,"share":0.85}],
        "workers":{"report_s":3.0,"lease_s":22.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":47.0},
        "state":{"rps":200.0,"write_rps":80.0,"value_kb":32.0,"txn_ops":32},
        "cloud":{"rps":4.0,"list_lag_s":3.0},"quota":{"cores":0.12,"ram_mb":104.0,"max_sockets":2500},
        "clock_error_ms":25.0},"novel":1})");
}
std::string error_of(const Json& settings) {
    try {
        parse_settings(settings.dump());
    } catch (const SettingsError& e) {
        return e.what();
    }
    return "";
}
}  // namespace

TEST(Settings, ParsesThePlatformFileAndIgnoresUnknownFields) {
    auto settings = parse_settings(valid_settings().dump());
    EXPECT_EQ(settings.node_name, "barrow-0");
    EXPECT_EQ(settings.members.size(), 1u);
    EXPECT_EQ(settings.placement.lease_s, 22.0);
    EXPECT_EQ(settings.placement.txn_ops, 32u);
    EXPECT_EQ(settings.placement.objectives.size(), 1u);
}

TEST(Settings, ErrorsNameTheMissingOrInvalidField) {
    EXPECT_NE(error_of(Json::array()), "");
    auto settings = valid_settings();
    settings.erase("serve_on");
    EXPECT_NE(error_of(settings).find("serve_on"), std::string::npos);
    settings = valid_settings();
    settings["external"]["state"] = "somewhere";
    EXPECT_NE(error_of(settings).find("external.state"), std::string::npos);
    settings = valid_settings();
    settings["deployment"]["workers"]["lease_s"] = -1;
    EXPECT_NE(error_of(settings).find("deployment.workers.lease_s"), std::string::npos);
    settings = valid_settings();
    settings["members"][0].erase("addr");
    EXPECT_NE(error_of(settings).find("members[0].addr"), std::string::npos);
    EXPECT_THROW(parse_settings("{"), SettingsError);
}

TEST(OperatorSettings, ValidFieldsAreAppliedAndInvalidOrUnknownFieldsAreRejected) {
    auto settings = parse_settings(valid_settings().dump());
    apply_operator_settings(settings, R"({"queue_bound": 1000, "leader_hold_ms": 4000})");
    EXPECT_EQ(settings.placement.queue_bound, 1000u);
    EXPECT_EQ(settings.leader_lease, std::chrono::milliseconds(4000));
    settings.placement.lease_s = 20, settings.placement.cancel_s = 50;
    EXPECT_GT(settings.lease_renewal_period(), std::chrono::seconds(29));
    apply_operator_settings(settings, R"({"keep_leases": false})");
    EXPECT_EQ(settings.lease_renewal_period(), std::chrono::seconds(0));
    for (auto bad : {R"({"queue_bound": "many"})", R"({"queue_bound": 0})"}) {
        try {
            apply_operator_settings(settings, bad);
            ADD_FAILURE() << bad;
        } catch (const SettingsError& e) {
            EXPECT_NE(std::string(e.what()).find("queue_bound"), std::string::npos) << e.what();
        }
    }
    EXPECT_THROW(apply_operator_settings(settings, R"({"nonsense": 1})"), SettingsError);
    EXPECT_THROW(apply_operator_settings(settings, "{"), SettingsError);
}
