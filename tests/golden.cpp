#include "golden.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "wire/codec.hpp"

namespace barrowrun::testing {
namespace {

namespace fs = std::filesystem;

const char* directory_to_write() {
    return std::getenv("GOLDEN_WRITE");
}

std::string read(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream content;
    content << in.rdbuf();
    return content.str();
}

void write(const fs::path& path, const std::string& content) {
    fs::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << content;
}

std::string indented(const Json& document) {
    return document.dump(2) + "\n";
}

/// Bytes as hexadecimal digits, 32 bytes a line.
std::string hexadecimal(const std::string& bytes) {
    constexpr char digits[] = "0123456789abcdef";
    constexpr std::size_t bytes_per_line = 32;
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (i > 0 && i % bytes_per_line == 0) out += '\n';
        const auto byte = static_cast<unsigned char>(bytes[i]);
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out + "\n";
}

/// What became of a malformed variant: why it was refused, or how what was read differs from the original.
Json outcome(const Json& original, const Json& variant, const RewriteOrWhy& rewrite) {
    auto result = rewrite(variant);
    if (!result.document) return result.refused;
    return {{"accepted", Json::diff(original, *result.document)}};
}

void add_variants(const Json& whole, const Json& part, const Json::json_pointer& at,
                  std::vector<std::pair<std::string, Json>>& out) {
    if (!at.empty()) {
        Json without = whole;
        Json& parent = without[at.parent_pointer()];
        if (parent.is_array())
            parent.erase(std::stoul(at.back()));
        else
            parent.erase(at.back());
        out.emplace_back(at.to_string() + " absent", std::move(without));
    }
    static const std::vector<Json> replacements{nullptr,
                                                true,
                                                -1,
                                                0u,
                                                0.5,
                                                1e13,
                                                ~0ULL,
                                                "",
                                                "unheard-of",
                                                "/",
                                                "wk-",
                                                std::string(201, 'x'),
                                                Json::array(),
                                                3e9,
                                                Json::object()};
    for (const Json& replacement : replacements) {
        Json variant = whole;
        variant[at] = replacement;
        auto shown = replacement.is_string() && replacement.get<std::string>().size() > 100
                         ? std::string("a text of 201 characters")
                         : replacement.dump();
        out.emplace_back(at.to_string() + " = " + shown, std::move(variant));
    }
    if (part.is_object())
        for (auto& [key, value] : part.items()) add_variants(whole, value, at / key, out);
    if (part.is_array())
        for (std::size_t i = 0; i < part.size(); ++i) add_variants(whole, part[i], at / i, out);
}

}  // namespace

std::vector<std::pair<std::string, Json>> malformed_variants(const Json& document) {
    std::vector<std::pair<std::string, Json>> out;
    add_variants(document, document, Json::json_pointer(), out);
    return out;
}

GoldenDirectory::~GoldenDirectory() {
    const fs::path directory = fs::path(GOLDEN_FILES) / group_;
    std::error_code ignored;
    for (auto& entry : fs::directory_iterator(directory, ignored))
        EXPECT_TRUE(files_.contains(entry.path().filename().string()))
            << entry.path() << " is compared by no test";
}

void GoldenDirectory::text(const std::string& file, const std::string& content) {
    EXPECT_TRUE(files_.insert(file).second) << file << " is compared twice";
    if (const char* directory = directory_to_write()) write(fs::path(directory) / group_ / file, content);
    const fs::path path = fs::path(GOLDEN_FILES) / group_ / file;
    EXPECT_TRUE(fs::is_regular_file(path)) << path << " is missing";
    EXPECT_EQ(read(path), content) << path;
}

void GoldenDirectory::document(const std::string& name, const Json& document) {
    text(name + ".json", indented(document));
}

void GoldenDirectory::message(const std::string& name, const Json& built, const Rewrite& rewrite) {
    document(name, built);
    const auto golden = Json::parse(read(fs::path(GOLDEN_FILES) / group_ / (name + ".json")), nullptr, false);
    ASSERT_FALSE(golden.is_discarded()) << name << " is not JSON";
    auto again = rewrite(golden);
    ASSERT_TRUE(again) << name << " is refused";
    EXPECT_EQ(indented(*again), indented(golden)) << name << ", read and written again";

    const auto body = wire::encode(built);
    text(name + ".msgpack.hex", hexadecimal(body));
    auto decoded = wire::decode(body);
    ASSERT_TRUE(decoded) << name << " cannot be decoded";
    again = rewrite(*decoded);
    ASSERT_TRUE(again) << name << " is refused as MessagePack";
    EXPECT_EQ(hexadecimal(wire::encode(*again)), hexadecimal(body)) << name << ", decoded and encoded again";
}

void GoldenDirectory::message_and_malformed(const std::string& name, const Json& built,
                                            const RewriteOrWhy& rewrite) {
    message(name, built, [&](const Json& document) { return rewrite(document).document; });
    Json outcomes = Json::object();
    for (auto& [line, variant] : malformed_variants(built)) outcomes[line] = outcome(built, variant, rewrite);
    std::string lines;
    for (auto& [line, result] : outcomes.items()) lines += line + ": " + result.dump() + "\n";
    text(name + ".malformed.txt", lines);
}

void GoldenDirectory::message_and_malformed(const std::string& name, const Json& built,
                                            const Rewrite& rewrite) {
    message_and_malformed(name, built, RewriteOrWhy([&](const Json& document) {
                              return Rewritten{rewrite(document), "refused"};
                          }));
}

}  // namespace barrowrun::testing
