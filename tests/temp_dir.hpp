#pragma once
// A directory that goes with the test.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace barrowrun::testing {

struct TempDir {
    std::filesystem::path path;
    TempDir() {
        std::string pattern = (std::filesystem::temp_directory_path() / "barrowrun-test-XXXXXX").string();
        if (!::mkdtemp(pattern.data())) std::abort();
        path = pattern;
    }
    TempDir(const TempDir&) = delete;
    TempDir& operator=(const TempDir&) = delete;
    ~TempDir() {
        std::error_code ec;
        std::filesystem::remove_all(path, ec);
    }
    std::string str(const std::string& name = "") const {
        return name.empty() ? path.string() : (path / name).string();
    }
    void write(const std::string& name, const std::string& content) const {
        std::filesystem::create_directories((path / name).parent_path());
        // A new file, not the old one emptied: some file systems sync what was emptied and written again, and
        // thousands of broken files then took minutes.
        std::error_code ec;
        std::filesystem::remove(path / name, ec);
        std::ofstream(path / name, std::ios::binary) << content;
    }
    std::string read(const std::string& name) const {
        std::ifstream in(path / name, std::ios::binary);
        std::stringstream s;
        s << in.rdbuf();
        return s.str();
    }
    bool has(const std::string& name) const {
        return std::filesystem::exists(std::filesystem::symlink_status(path / name));
    }
};

}  // namespace barrowrun::testing
