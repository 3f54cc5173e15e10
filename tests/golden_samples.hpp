#pragma once
// Fixed values that several golden files are written from.
#include <vector>

#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::testing {

/// A job that says something in every field, one that this program doesn't know included.
inline wire::JobSpec job_with_every_field() {
    return {"wk-1",
            "web",
            "harbour",
            wire::JobKind::gang,
            wire::Priority::high,
            12,
            {1.5, 2.0, 8.25},
            "depot/fish:3",
            4.5,
            std::vector<std::string>{"g8", "c4"},
            "a",
            true,
            true,
            true,
            600.0,
            60.0,
            5.0,
            3600.0,
            3,
            "slips/night",
            {{"novel", {1, "two"}}}};
}

inline wire::JobSpec job_with_no_optional_field() {
    return {"wk-22",
            "web",
            "harbour",
            wire::JobKind::array,
            wire::Priority::normal,
            1,
            {},
            "depot/x",
            0.0,
            std::nullopt,
            {},
            false,
            false,
            false,
            0.0,
            0.0,
            0.0,
            {},
            {},
            "",
            {}};
}

inline std::vector<wire::MachineType> sample_machine_types() {
    return {{"g8", 64.0, 8.0, 512.0, 900.0, 0.25, 12.5, 4.25, 45.0, {"a", "b"}},
            {"c4", 4.0, 0.0, 16.0, 100.0, 0.1, 1.0, 0.5, 30.0, {"a"}}};
}

}  // namespace barrowrun::testing
