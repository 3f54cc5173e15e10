#include "sim/digest.hpp"

#include <gtest/gtest.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>

namespace barrowrun::sim {
namespace {

// Suite.Test/1 for the first history of a test, and so on.
std::string name_within_test() {
    static std::string last_test;
    static std::size_t count = 0;
    const auto* info = testing::UnitTest::GetInstance()->current_test_info();
    const std::string test = info ? std::string(info->test_suite_name()) + "." + info->name() : "no_test";
    if (std::exchange(last_test, test) != test) count = 0;
    return test + "/" + std::to_string(++count);
}

}  // namespace

void Digest::add_bytes(std::string_view bytes) {
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char byte : bytes) value_ = (value_ ^ static_cast<unsigned char>(byte)) * prime;
}

void Digest::add_number(std::uint64_t number) {
    char bytes[8];  // lowest first, on every machine
    for (char& byte : bytes) {
        byte = static_cast<char>(number & 0xff);
        number >>= 8;
    }
    add_bytes({bytes, sizeof bytes});
}

void Digest::add_event(std::string_view kind, Nanos time, std::initializer_list<std::string_view> values) {
    add_number(kind.size());
    add_bytes(kind);
    add_number(static_cast<std::uint64_t>(time.count()));
    add_number(values.size());
    for (auto value : values) {
        add_number(value.size());
        add_bytes(value);
    }
}

HistoryDigest::HistoryDigest(std::uint64_t seed) : seed_(seed) {
    if (const char* file = std::getenv("SIM_DIGEST")) file_ = file;
    if (enabled()) name_ = name_within_test();
}

HistoryDigest::~HistoryDigest() {
    if (!enabled()) return;
    std::FILE* out = std::fopen(file_.c_str(), "a");
    if (!out) {
        std::fprintf(stderr, "SIM_DIGEST: %s can't be written\n", file_.c_str());
        std::abort();
    }
    std::fprintf(out, "%s\t%" PRIu64 "\t%016" PRIx64 "\n", name_.c_str(), seed_, digest_.value());
    std::fclose(out);
}

}  // namespace barrowrun::sim
