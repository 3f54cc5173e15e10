#pragma once
// A thin cover over SQLite: every change is synced before the call that made it returns.
#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace barrowrun::store {

struct StoreError : std::runtime_error {
    int code;  // SQLite's
    StoreError(const std::string& what, int c) : std::runtime_error(what), code(c) {}
    bool full() const { return code == SQLITE_FULL; }
};

class Statement {
  public:
    Statement(sqlite3* db, const char* sql);
    // Bound from 1 on, in the order of the calls.
    Statement& bind(std::string_view bytes);  // as a blob
    Statement& text(std::string_view text);
    Statement& bind(std::int64_t n);
    Statement& null();
    bool step();  // true: there is a row
    // Runs to the end and makes the statement ready for the next use.
    void run();
    void reset();
    std::int64_t number(int column) const;
    std::string bytes(int column) const;
    bool is_null(int column) const;

  private:
    struct End {
        void operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }
    };
    std::unique_ptr<sqlite3_stmt, End> s_;
    int next_ = 1;
};

class Database {
  public:
    // `exclusive`: held by this process alone as long as it is open; throws StoreError (SQLITE_BUSY) if
    // another has it.
    explicit Database(const std::string& path, bool exclusive = false);
    Statement prepare(const char* sql) { return Statement(db_.get(), sql); }
    void run(const char* sql);
    sqlite3* handle() { return db_.get(); }

  private:
    struct End {
        void operator()(sqlite3* d) const { sqlite3_close(d); }
    };
    std::unique_ptr<sqlite3, End> db_;
};

// All or nothing: rolled back unless committed.
class Transaction {
  public:
    explicit Transaction(Database& db) : db_(db) { db_.run("BEGIN IMMEDIATE"); }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction();
    void commit() {
        db_.run("COMMIT");
        done_ = true;
    }

  private:
    Database& db_;
    bool done_ = false;
};

}  // namespace barrowrun::store
