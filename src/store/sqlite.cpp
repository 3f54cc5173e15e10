#include "store/sqlite.hpp"

namespace barrowrun::store {
namespace {
void check(int code, sqlite3* db) {
    if (code != SQLITE_OK) throw StoreError(sqlite3_errmsg(db), code);
}
}  // namespace

Statement::Statement(sqlite3* db, const char* sql) {
    sqlite3_stmt* statement = nullptr;
    check(sqlite3_prepare_v2(db, sql, -1, &statement, nullptr), db);
    statement_.reset(statement);
}

Statement& Statement::bind(std::string_view v) {
    check(sqlite3_bind_blob(statement_.get(), next_parameter_++, v.data() ? v.data() : "",
                            static_cast<int>(v.size()), SQLITE_TRANSIENT),
          sqlite3_db_handle(statement_.get()));
    return *this;
}

Statement& Statement::text(std::string_view v) {
    check(sqlite3_bind_text(statement_.get(), next_parameter_++, v.data() ? v.data() : "",
                            static_cast<int>(v.size()), SQLITE_TRANSIENT),
          sqlite3_db_handle(statement_.get()));
    return *this;
}

Statement& Statement::bind(std::int64_t n) {
    check(sqlite3_bind_int64(statement_.get(), next_parameter_++, n), sqlite3_db_handle(statement_.get()));
    return *this;
}

Statement& Statement::null() {
    check(sqlite3_bind_null(statement_.get(), next_parameter_++), sqlite3_db_handle(statement_.get()));
    return *this;
}

bool Statement::step() {
    int code = sqlite3_step(statement_.get());
    if (code == SQLITE_ROW) return true;
    if (code == SQLITE_DONE) return false;
    auto* db = sqlite3_db_handle(statement_.get());
    StoreError error(sqlite3_errmsg(db), code & 0xff);
    sqlite3_reset(statement_.get());
    throw error;
}

void Statement::run() {
    while (step()) {
    }
    reset();
}

void Statement::reset() {
    sqlite3_reset(statement_.get());
    sqlite3_clear_bindings(statement_.get());
    next_parameter_ = 1;
}

std::int64_t Statement::number(int column) const {
    return sqlite3_column_int64(statement_.get(), column);
}

std::string Statement::bytes(int column) const {
    auto* data = static_cast<const char*>(sqlite3_column_blob(statement_.get(), column));
    auto n = sqlite3_column_bytes(statement_.get(), column);
    return data ? std::string(data, static_cast<std::size_t>(n)) : std::string();
}

bool Statement::is_null(int column) const {
    return sqlite3_column_type(statement_.get(), column) == SQLITE_NULL;
}

Database::Database(const std::string& path, bool exclusive) {
    sqlite3* db = nullptr;
    int code = sqlite3_open(path.c_str(), &db);
    db_.reset(db);
    if (code != SQLITE_OK)
        throw StoreError(path + ": " + (db ? sqlite3_errmsg(db) : "cannot be opened"), code);
    sqlite3_busy_timeout(db, exclusive ? 0 : 5000);
    if (exclusive) run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    // With FULL, a commit returns only after the write-ahead log has been synced to disk.
    run("PRAGMA synchronous=FULL");
    if (exclusive) {
        run("BEGIN EXCLUSIVE");
        run("COMMIT");
    }
}

void Database::run(const char* sql) {
    char* message = nullptr;
    int code = sqlite3_exec(db_.get(), sql, nullptr, nullptr, &message);
    if (code == SQLITE_OK) return;
    std::string text = message ? message : sqlite3_errmsg(db_.get());
    sqlite3_free(message);
    throw StoreError(text, code & 0xff);
}

Transaction::~Transaction() {
    if (committed_) return;
    try {
        db_.run("ROLLBACK");
    } catch (const StoreError&) {
        // SQLite has already rolled the transaction back when the statement failed.
    }
}

}  // namespace barrowrun::store
