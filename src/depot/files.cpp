#include "depot/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <memory>
#include <vector>

namespace barrowrun::depot {
namespace {

struct Descriptor {
    int fd;
    explicit Descriptor(int f) : fd(f) {}
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    ~Descriptor() {
        if (fd >= 0) ::close(fd);
    }
};

fs::path temporary_path_beside(const fs::path& path) {
    static std::atomic<unsigned> counter{0};
    return path.parent_path() / ("." + path.filename().string() + "." + std::to_string(::getpid()) + "." +
                                 std::to_string(++counter));
}

void write_synced(const fs::path& path, const std::string& content) {
    Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644));
    if (file.fd < 0) throw FileError("open", path, errno);
    for (std::size_t written = 0; written < content.size();) {
        auto n = ::write(file.fd, content.data() + written, content.size() - written);
        if (n < 0) {
            if (errno == EINTR) continue;
            int error = errno;
            ::unlink(path.c_str());
            throw FileError("write", path, error);
        }
        written += static_cast<std::size_t>(n);
    }
    if (::fsync(file.fd) != 0) {
        int error = errno;
        ::unlink(path.c_str());
        throw FileError("fsync", path, error);
    }
}

std::string hex128(XXH128_hash_t h) {
    char out[33];
    std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                  static_cast<unsigned long long>(h.low64));
    return out;
}

}  // namespace

FileError::FileError(const std::string& operation, const fs::path& path, int e)
    : std::runtime_error(operation + " " + path.string() + ": " + std::strerror(e)), error(e) {}

std::optional<std::string> read_all(const fs::path& path) {
    Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.fd < 0) {
        if (errno == ENOENT || errno == ENOTDIR) return std::nullopt;
        throw FileError("open", path, errno);
    }
    std::string out;
    char chunk[16384];
    for (;;) {
        auto n = ::read(file.fd, chunk, sizeof chunk);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) throw FileError("read", path, errno);
        if (n == 0) return out;
        out.append(chunk, static_cast<std::size_t>(n));
    }
}

void write_whole(const fs::path& path, const std::string& content) {
    auto temporary = temporary_path_beside(path);
    write_synced(temporary, content);
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        int error = errno;
        ::unlink(temporary.c_str());
        throw FileError("rename", path, error);
    }
    sync_dir(path.parent_path());
}

bool create_once(const fs::path& path, const std::string& content) {
    auto temporary = temporary_path_beside(path);
    write_synced(temporary, content);
    bool created = ::link(temporary.c_str(), path.c_str()) == 0;
    int error = errno;
    ::unlink(temporary.c_str());
    if (!created && error != EEXIST) throw FileError("link", path, error);
    sync_dir(path.parent_path());
    return created;
}

void sync_file(const fs::path& path) {
    Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.fd < 0) throw FileError("open", path, errno);
    if (::fsync(file.fd) != 0) throw FileError("fsync", path, errno);
}

void sync_dir(const fs::path& path) {
    sync_file(path.empty() ? fs::path(".") : path);
}

std::string content_hash(const fs::path& path) {
    Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.fd < 0) throw FileError("open", path, errno);
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    std::vector<char> chunk(1 << 18);
    for (;;) {
        auto n = ::read(file.fd, chunk.data(), chunk.size());
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) throw FileError("read", path, errno);
        if (n == 0) break;
        XXH3_128bits_update(state.get(), chunk.data(), static_cast<std::size_t>(n));
    }
    return hex128(XXH3_128bits_digest(state.get()));
}

std::string text_hash(const std::string& text) {
    return hex128(XXH3_128bits(text.data(), text.size()));
}

std::uint64_t short_hash(const std::string& text) {
    return XXH3_64bits(text.data(), text.size());
}

std::string to_text(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size();) {
        auto c = static_cast<unsigned char>(bytes[i]);
        std::size_t n = c < 0x80                     ? 1
                        : (c >> 5) == 6 && c >= 0xc2 ? 2
                        : (c >> 4) == 14             ? 3
                        : (c >> 3) == 30 && c < 0xf5 ? 4
                                                     : 0;
        bool valid = n > 0 && c != 0x1b && i + n <= bytes.size();
        for (std::size_t k = 1; valid && k < n; ++k)
            valid = (static_cast<unsigned char>(bytes[i + k]) >> 6) == 2;
        if (valid && n == 3) {
            auto d = static_cast<unsigned char>(bytes[i + 1]);
            valid = !(c == 0xe0 && d < 0xa0) && !(c == 0xed && d >= 0xa0);
        } else if (valid && n == 4) {
            auto d = static_cast<unsigned char>(bytes[i + 1]);
            valid = !(c == 0xf0 && d < 0x90) && !(c == 0xf4 && d >= 0x90);
        }
        if (valid) {
            out.append(bytes, i, n);
            i += n;
        } else {
            char escaped[4];
            std::snprintf(escaped, sizeof escaped, "\x1b%02x", c);
            out += escaped;
            ++i;
        }
    }
    return out;
}

std::string from_text(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\x1b' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

}  // namespace barrowrun::depot
