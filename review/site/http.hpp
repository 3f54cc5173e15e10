#pragma once
// HTTP/1.1 with MessagePack bodies over blocking sockets: one thread for each connection of a server.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace site {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Seconds = std::chrono::duration<double>;
inline Clock::duration secs(double s) {
    return std::chrono::duration_cast<Clock::duration>(Seconds(s));
}
inline void sleep_s(double s) {
    std::this_thread::sleep_for(Seconds(s));
}

struct Answer {
    int status = 0;  // 0: no answer
    json body = json::object();
    double retry_after = 0;
};
struct Request {
    std::string method, target;
    json body;
    bool valid = true;  // the body is empty or MessagePack
};
using Handler = std::function<Answer(const Request&)>;

inline sockaddr_in address_of(const std::string& text) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    auto colon = text.rfind(':');
    if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr) != 1)
        throw std::runtime_error("address: " + text);
    a.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return a;
}

// Sends all bytes; false if the peer is gone or the time is over.
inline bool send_all(int fd, const std::string& data, TimePoint until) {
    std::size_t sent = 0;
    while (sent < data.size()) {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd p{fd, POLLOUT, 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) return false;
        auto n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct Message {
    std::string first_line, body;
    bool close = false;
    double retry_after = 0;
};

// Reads one message with its body. Nothing if the peer closed the connection or the time is over.
inline std::optional<Message> read_message(int fd, std::string& buffer, TimePoint until) {
    std::size_t head = std::string::npos, length = 0;
    Message out;
    for (;;) {
        if (head == std::string::npos) {
            head = buffer.find("\r\n\r\n");
            if (head != std::string::npos) {
                std::size_t at = buffer.find("\r\n");
                out.first_line = buffer.substr(0, at);
                while (at < head) {
                    auto begin = at + 2;
                    at = buffer.find("\r\n", begin);
                    std::string line = buffer.substr(begin, at - begin);
                    auto colon = line.find(':');
                    if (colon == std::string::npos) continue;
                    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
                    for (auto& c : name) c = static_cast<char>(std::tolower(c));
                    for (auto& c : value) c = static_cast<char>(std::tolower(c));
                    if (name == "content-length") length = std::stoul(value);
                    if (name == "connection" && value.find("close") != std::string::npos) out.close = true;
                    if (name == "retry-after") out.retry_after = std::stod(value);
                }
            }
        }
        if (head != std::string::npos && buffer.size() >= head + 4 + length) {
            out.body = buffer.substr(head + 4, length);
            buffer.erase(0, head + 4 + length);
            return out;
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd p{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) return std::nullopt;
        char part[16384];
        auto n = ::recv(fd, part, sizeof part, 0);
        if (n < 0 && (errno == EINTR || errno == EAGAIN)) continue;
        if (n <= 0) return std::nullopt;
        buffer.append(part, static_cast<std::size_t>(n));
    }
}

inline std::string pack(const json& body) {
    std::string out;
    json::to_msgpack(body, out);
    return out;
}

// Listens on a free port of 127.0.0.1 from construction on, and never stops.
class Server {
  public:
    explicit Server(Handler handler) : handler_(std::move(handler)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in a = address_of("127.0.0.1:0");
        socklen_t n = sizeof a;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), n) != 0 || ::listen(fd_, 256) != 0)
            throw std::runtime_error("listen");
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n);
        address_ = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
        std::thread([this] { accept_loop(); }).detach();
    }
    const std::string& address() const { return address_; }

  private:
    void accept_loop() {
        for (;;) {
            int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleep_s(0.01);
                continue;
            }
            int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] {
                serve(fd);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd) {
        std::string buffer;
        for (;;) {
            auto message = read_message(fd, buffer, Clock::now() + secs(600));
            if (!message) return;
            Request request;
            auto space = message->first_line.find(' ');
            request.method = message->first_line.substr(0, space);
            request.target = message->first_line.substr(space + 1);
            request.target = request.target.substr(0, request.target.find(' '));
            request.body = json::object();
            if (!message->body.empty()) {
                request.body = json::from_msgpack(message->body, true, false);
                request.valid = !request.body.is_discarded();
            }
            Answer answer = handler_(request);
            if (answer.status == 0) return;
            std::string body = pack(answer.body);
            std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                               " -\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n" +
                               (message->close ? "Connection: close\r\n" : "") + "\r\n" + body;
            if (!send_all(fd, text, Clock::now() + secs(10)) || message->close) return;
        }
    }
    Handler handler_;
    int fd_ = -1;
    std::string address_;
};

// One connection to one address at a time, opened when needed.
class Client {
  public:
    Client() = default;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() { close(); }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
        buffer_.clear();
    }
    Answer call(const std::string& address, const std::string& method, const std::string& target,
                const json* body, double timeout_s, double connect_timeout_s = 1e9) {
        const auto until = Clock::now() + secs(timeout_s);
        if (address != to_) close();
        to_ = address;
        if (fd_ < 0 && !connect(address, std::min(until, Clock::now() + secs(std::min(connect_timeout_s, timeout_s)))))
            return {};
        std::string content = body ? pack(*body) : std::string();
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
        if (body) text += "Content-Type: application/msgpack\r\n";
        text += "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
        Answer out;
        std::optional<Message> message;
        if (send_all(fd_, text, until)) message = read_message(fd_, buffer_, until);
        if (!message) {
            close();
            return out;
        }
        out.status = std::stoi(message->first_line.substr(9, 3));
        out.retry_after = message->retry_after;
        if (!message->body.empty()) {
            out.body = json::from_msgpack(message->body, true, false);
            if (out.body.is_discarded()) out.body = json::object();
        }
        if (message->close) close();
        return out;
    }

  private:
    bool connect(const std::string& address, TimePoint until) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd_ < 0) return false;
        sockaddr_in a = address_of(address);
        int result = ::connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a);
        if (result != 0 && errno == EINPROGRESS) {
            auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
            pollfd p{fd_, POLLOUT, 0};
            int error = 1;
            socklen_t n = sizeof error;
            if (left > 0 && ::poll(&p, 1, static_cast<int>(left)) > 0) ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &n);
            result = error;
        }
        if (result != 0) {
            close();
            return false;
        }
        int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return true;
    }
    int fd_ = -1;
    std::string to_, buffer_;
};

}  // namespace site
