// Digests of histories: the hash itself, and what makes one history's digest differ from another's.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "sim/site.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

// SIM_DIGEST as it was is set again at the end.
class DigestFile {
  public:
    DigestFile() : path_(testing::TempDir() + "digests_" + std::to_string(getpid())) {
        if (const char* before = std::getenv("SIM_DIGEST")) before_ = before;
        std::filesystem::remove(path_);
        setenv("SIM_DIGEST", path_.c_str(), 1);
    }
    ~DigestFile() {
        if (before_)
            setenv("SIM_DIGEST", before_->c_str(), 1);
        else
            unsetenv("SIM_DIGEST");
        std::filesystem::remove(path_);
    }
    struct Line {
        std::string name, digest;
        std::uint64_t seed = 0;
    };
    std::vector<Line> lines() const {
        std::vector<Line> out;
        std::ifstream in(path_);
        for (Line line; in >> line.name >> line.seed >> line.digest;) out.push_back(line);
        return out;
    }

  private:
    std::string path_;
    std::optional<std::string> before_;
};

void play_short(std::uint64_t seed, Nanos submitted_at) {
    Site site({.seed = seed, .machines = 2});
    site.run(submitted_at);
    site.submit(site.job(2, 3));
    site.run(12s);
}

std::uint64_t fnv1a(std::string_view bytes) {
    Digest digest;
    digest.add_bytes(bytes);
    return digest.value();
}

std::uint64_t digest_of(std::initializer_list<std::string_view> values, Nanos time = 1s) {
    Digest digest;
    digest.add_event("request", time, values);
    return digest.value();
}

}  // namespace

// Values published with the algorithm.
TEST(Digest, IsFnv1a) {
    EXPECT_EQ(fnv1a(""), 0xcbf29ce484222325ULL);
    EXPECT_EQ(fnv1a("a"), 0xaf63dc4c8601ec8cULL);
    EXPECT_EQ(fnv1a("foobar"), 0x85944171f73967e8ULL);
}

TEST(Digest, TellsApartValuesTimesAndOrder) {
    EXPECT_EQ(digest_of({"ab", "c"}), digest_of({"ab", "c"}));
    EXPECT_NE(digest_of({"ab", "c"}), digest_of({"a", "bc"}));
    EXPECT_NE(digest_of({"ab", "c"}), digest_of({"c", "ab"}));
    EXPECT_NE(digest_of({"ab", "c"}), digest_of({"ab", "c", ""}));
    EXPECT_NE(digest_of({"ab", "c"}), digest_of({"ab", "c"}, 1s + 1ns));
}

TEST(Digest, IsTheSameForTheSameHistoryAndAnotherForAnyOther) {
    DigestFile file;
    play_short(3, 5s);
    play_short(3, 5s);
    play_short(4, 5s);
    play_short(3, 5s + 1us);
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 4u);
    const std::string test = "Digest.IsTheSameForTheSameHistoryAndAnotherForAnyOther/";
    for (std::size_t i = 0; i < lines.size(); ++i) EXPECT_EQ(lines[i].name, test + std::to_string(i + 1));
    EXPECT_EQ(lines[2].seed, 4u);
    EXPECT_EQ(lines[0].digest, lines[1].digest);
    EXPECT_NE(lines[0].digest, lines[2].digest);
    EXPECT_NE(lines[0].digest, lines[3].digest);
}
