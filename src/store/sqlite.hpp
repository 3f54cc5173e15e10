#pragma once
// A thin wrapper around SQLite. Each commit is synced to disk before the call returns.
#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace barrowrun::store {

struct StoreError : std::runtime_error {
    int code;  // SQLite's primary result code
    StoreError(const std::string& what, int c) : std::runtime_error(what), code(c) {}
    bool full() const { return code == SQLITE_FULL; }
};

class Statement {
  public:
    Statement(sqlite3* db, const char* sql);
    // The calls bind the statement's parameters in order, starting with parameter 1.
    Statement& bind(std::string_view bytes);  // binds a blob
    Statement& text(std::string_view text);
    Statement& bind(std::int64_t n);
    Statement& null();
    bool step();  // true if there is a row to read
    // Executes the statement to its end, then resets it and clears its parameters.
    void run();
    void reset();
    std::int64_t number(int column) const;
    std::string bytes(int column) const;
    bool is_null(int column) const;

  private:
    struct Finalizer {
        void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
    };
    std::unique_ptr<sqlite3_stmt, Finalizer> statement_;
    int next_parameter_ = 1;
};

class Database {
  public:
    // `exclusive` locks the database for this process as long as it is open. Throws StoreError with
    // SQLITE_BUSY if another process holds the lock.
    explicit Database(const std::string& path, bool exclusive = false);
    Statement prepare(const char* sql) { return Statement(db_.get(), sql); }
    void run(const char* sql);
    sqlite3* handle() { return db_.get(); }

  private:
    struct Closer {
        void operator()(sqlite3* database) const { sqlite3_close(database); }
    };
    std::unique_ptr<sqlite3, Closer> db_;
};

// A transaction that is rolled back by the destructor unless it was committed.
class Transaction {
  public:
    explicit Transaction(Database& db) : db_(db) { db_.run("BEGIN IMMEDIATE"); }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction();
    void commit() {
        db_.run("COMMIT");
        committed_ = true;
    }

  private:
    Database& db_;
    bool committed_ = false;
};

}  // namespace barrowrun::store
