#pragma once
// Request and response bodies that several routes use.
#include <string>

#include "net/http_server.hpp"

namespace barrowrun::api {

inline net::Response error_response(int status, std::string text, int retry_after = 0) {
    return net::Response{status, {{"error", std::move(text)}}, retry_after};
}

inline wire::Json job_id_body(const std::string& id) {
    return wire::Json{{"id", id}};
}

}  // namespace barrowrun::api
