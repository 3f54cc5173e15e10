// Plays changed messages to a fuzz target where there is no fuzzer: always the same ones.
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wire/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
    using barrowrun::wire::Json;
    const long rounds = argc > 1 ? std::atol(argv[1]) : 20000;
    const Json seeds[] = {
        {{"baton", 3},
         {"orders",
          {{{"verb", "launch"}, {"parcel", "wk-1/0"}, {"try", 2}},
           {{"verb", "kill"}, {"parcel", "wk-1/1"}, {"try", 1}, {"leeway_s", 2.5}}}}},
        {{"barrow", "n-1"},
         {"endpoint", "127.0.0.1:1"},
         {"build", "g"},
         {"yard", "a"},
         {"loaners", true},
         {"shift", 1},
         {"tally", 2},
         {"baton", 3},
         {"recall_s", nullptr},
         {"parcels", {{{"parcel", "wk-1/0"}, {"try", 1}, {"standing", "ended"}, {"cause", "error"}}}}},
        {{"name_id", "wk-1"}, {"docket", "d"},    {"crew", "c"},      {"sort", "sweep"},
         {"rank", "low"},     {"parcels", 3},     {"vcpus", 1.0},     {"cards", 0.0},
         {"mem_gb", 1.0},     {"cargo", "i"},     {"image_gb", 0.1},  {"same_place", false},
         {"spread", false},   {"loaners", false}, {"haul_s", 1.0},    {"waymark_s", 0.0},
         {"stow_s", 0.0},     {"retries", 2},     {"project", "a/b"}, {"of a later version", {1, 2}}},
        {{"base", 0},
         {"set",
          {{{"name", "b"}, {"in", "a"}, {"limit", {{"cpus", 3.0}}}},
           {{"name", "t"}, {"in", "a"}, {"team", "c"}, {"guarantee", {{"cpus", 2.0}, {"mem_gb", 1.0}}}}}},
         {"drop", {"a/x"}},
         {"shrink_s", 5},
         {"by", "x"}},
        {{"zone", "a"}, {"token", 3}, {"stamp", 9}, {"held_ms", 8}, {"quiet", true}, {"own_ms", 70}},
        {{"token", 3}, {"stamp", 9}, {"but", {"n-1", "n-2"}}},
        {{"version", 3}, {"slots", "a"}, {"changed_ms", 5}, {"history", {{{"version", 3}, {"by", "y"}}}}},
        {{"name_id", "wk-1"},
         {"standing", "failed"},
         {"done", 1},
         {"running", 0},
         {"errors", {{"count", 2}, {"last", {{"parcel", "wk-1/0"}, {"barrow", "n"}, {"try", 9}}}}}},
        {{"finished", {0, 3}}, {"errors", {4, 1, 77}}, {"failed", true}, {"error_count", {{"count", 1}}}},
        {{"if", {{{"key", "a"}, {"mark", 0}}}},
         {"then", {{{"set", "a"}, {"value", {1, "x"}}}, {{"drop", "b"}}}}},
        {{"hire", "r"}, {"build", "g"}, {"yard", "a"}, {"loaners", false}, {"how_many", 3}},
        {{"steps", {{{"run", "true"}}}}, {"dir", "/x"}, {"job", {{"name_id", "wk-1"}}}}};
    std::mt19937 random(7);
    for (long i = 0; i < rounds; ++i) {
        auto text = barrowrun::wire::encode(seeds[random() % std::size(seeds)]);
        for (auto k = random() % 6; k > 0 && !text.empty(); --k) {
            auto at = random() % text.size();
            switch (random() % 4) {
                case 0:
                    text[at] = static_cast<char>(random());
                    break;
                case 1:
                    text.erase(at, 1 + random() % 4);
                    break;
                case 2:
                    text.insert(at, 1, static_cast<char>(random()));
                    break;
                default:
                    text[at] = static_cast<char>(text[at] + 1);
                    break;
            }
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    }
    return 0;
}
