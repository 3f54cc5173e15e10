#pragma once
// Marks that an operation is in flight, for as long as the mark lives.

namespace barrowrun::api {

// Sets the flag, and clears it again on every way out of the scope, cancellation of a coroutine included.
// The flag must outlive the mark: it is for members of an object that the coroutine keeps alive.
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
