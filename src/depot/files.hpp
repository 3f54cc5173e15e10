#pragma once
// Crash-safe file operations: atomic replacement of a file's content, and exclusive creation of a file, with
// which one of several writers wins. Also content hashes and the encoding of file names in JSON.
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>

namespace barrowrun::depot {

namespace fs = std::filesystem;

// A failed file system operation; `what()` names the operation, the path and the reason.
struct FileError : std::runtime_error {
    FileError(const std::string& operation, const fs::path& path, int error);
    int error;
};

std::optional<std::string> read_all(const fs::path& path);  // nothing if the file doesn't exist
// Replaces the file atomically: after a crash or a power failure it has either the old content or the new.
void write_whole(const fs::path& path, const std::string& content);
// Creates the file with this content unless it exists. Of several concurrent writers exactly one gets true.
bool create_once(const fs::path& path, const std::string& content);
void sync_file(const fs::path& path);
void sync_dir(const fs::path& path);
// The 128-bit XXH3 hash, as 32 hexadecimal digits.
std::string content_hash(const fs::path& path);
std::string text_hash(const std::string& text);
// The 64-bit XXH3 hash.
std::uint64_t short_hash(const std::string& text);
// JSON strings must be UTF-8, which file names need not be. to_text replaces each byte that is not part of
// valid UTF-8, and ESC itself, by ESC and two hexadecimal digits; from_text reverses this.
std::string to_text(const std::string& bytes);
std::string from_text(const std::string& text);

}  // namespace barrowrun::depot
