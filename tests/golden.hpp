#pragma once
// Golden files: what is stored or sent, byte for byte, as committed under tests/golden/.
//
// A file is only written when GOLDEN_WRITE names the directory to write into; a test never does so by itself.
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace barrowrun::testing {

using Json = nlohmann::json;

/// Reads a document with the real parser and writes it again with the real encoder. Nothing: it was refused.
using Rewrite = std::function<std::optional<Json>(const Json&)>;

/// The same for parsers that say what is wrong: the document, or the refusal as text under `refused`.
struct Rewritten {
    std::optional<Json> document;
    std::string refused;
};
using RewriteOrWhy = std::function<Rewritten(const Json&)>;

/// A `Rewrite` of a parser and an encoder.
template <class Parse, class Encode>
Rewrite rewrite_by(Parse parse, Encode encode) {
    return [parse, encode](const Json& document) -> std::optional<Json> {
        auto value = parse(document);
        if (!value) return std::nullopt;
        return encode(*value);
    };
}

/// One directory of golden files, and which of them the test has compared.
class GoldenDirectory {
  public:
    explicit GoldenDirectory(std::string group) : group_(std::move(group)) {}
    /// Fails if files are left that no comparison has asked for.
    ~GoldenDirectory();
    GoldenDirectory(const GoldenDirectory&) = delete;
    GoldenDirectory& operator=(const GoldenDirectory&) = delete;

    /// The file holds exactly these bytes.
    void text(const std::string& file, const std::string& content);
    /// The file holds this document, indented, keys sorted.
    void document(const std::string& name, const Json& document);
    /// What was built from C++ values is the file's document; the file, read and written again, keeps its
    /// bytes, as JSON and as MessagePack.
    void message(const std::string& name, const Json& built, const Rewrite& rewrite);
    /// As `message`; besides, what becomes of each malformed variant of it is the document `NAME.malformed`.
    void message_and_malformed(const std::string& name, const Json& built, const RewriteOrWhy& rewrite);
    void message_and_malformed(const std::string& name, const Json& built, const Rewrite& rewrite);

  private:
    std::string group_;
    std::set<std::string> files_;
};

/// Every malformed variant of a document, by a line that says what was done to it: each field taken away, or
/// replaced by values of other types and out of range.
std::vector<std::pair<std::string, Json>> malformed_variants(const Json& document);

}  // namespace barrowrun::testing
