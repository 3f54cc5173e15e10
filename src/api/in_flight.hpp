#pragma once
// Scope guard for a flag that shows that an operation is in flight.

namespace barrowrun::api {

// Sets the flag and clears it on every exit from the scope, including cancellation of a coroutine. The flag
// must outlive the guard; use it for members of an object that the coroutine keeps alive.
class InFlight {
  public:
    explicit InFlight(bool& flag) : flag_(flag) { flag_ = true; }
    ~InFlight() { flag_ = false; }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

  private:
    bool& flag_;
};

}  // namespace barrowrun::api
