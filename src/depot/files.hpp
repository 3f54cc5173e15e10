#pragma once
// Small file operations that survive a crash: whole files or none, and exclusive creation as a decision.
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>

namespace barrowrun::depot {

namespace fs = std::filesystem;

// An operation of the file system failed; `what()` names operation, path and reason.
struct FileError : std::runtime_error {
    FileError(const std::string& operation, const fs::path& path, int error);
    int error;
};

std::optional<std::string> read_all(const fs::path& path);  // nothing: there is no such file
// The file's content is either as before or as given, also after a loss of power.
void write_whole(const fs::path& path, const std::string& content);
// Creates the file with this content unless it exists: of any number of writers exactly one gets true.
bool create_once(const fs::path& path, const std::string& content);
void sync_file(const fs::path& path);
void sync_dir(const fs::path& path);
// XXH3, 128 bits, as 32 hexadecimal digits.
std::string content_hash(const fs::path& path);
std::string text_hash(const std::string& text);
std::uint64_t short_hash(const std::string& text);
// JSON strings must be UTF-8 and file names need not be: other bytes stand as ESC and two hexadecimal digits,
// which from_text undoes.
std::string to_text(const std::string& bytes);
std::string from_text(const std::string& text);

}  // namespace barrowrun::depot
