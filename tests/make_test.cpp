// Makefiles as they are read: what isn't supported is said with its place, and nothing is misread. What the
// rules come to when they run is compared with plain make by tests/rules.
#include <gtest/gtest.h>

#include "temp_dir.hpp"
#include "workflow/make/makefile.hpp"

using namespace barrowrun;
using namespace barrowrun::workflow;
using barrowrun::testing::TempDir;
using make::Makefile;

namespace {

struct Reader {
    TempDir dir;
    std::vector<std::string> said;
    std::unique_ptr<Makefile> m;
    void read(const std::string& text, std::vector<std::string> goals = {},
              std::vector<std::string> variables = {}) {
        dir.write("Makefile", text);
        m = std::make_unique<Makefile>(
            make::MakeOptions{dir.str(), "", std::move(goals), std::move(variables),
                              [this](const std::string& s) { said.push_back(s); }});
    }
    std::string error(const std::string& text, std::vector<std::string> goals = {}) {
        try {
            read(text, std::move(goals));
        } catch (const RuleError& e) {
            return e.what();
        }
        return "";
    }
    NodeId node(const std::string& name) { return m->graph().by_output.at(name); }
    Work work(const std::string& name) { return m->work(node(name), {}); }
    std::vector<std::string> steps(const std::string& name) {
        std::vector<std::string> out;
        for (auto& s : work(name).steps) out.push_back(s.run);
        return out;
    }
    std::vector<std::string> needs(const std::string& name) {
        std::vector<std::string> out;
        for (auto& n : m->graph().nodes[node(name)].needs)
            out.push_back((n.order_only ? "|" : "") + m->graph().nodes[n.node].name);
        return out;
    }
    using Names = std::vector<std::string>;
};

}  // namespace

TEST(Make, ErrorsNameFileAndLine) {
    Reader r;
    struct {
        const char *text, *error;
    } cases[] = {
        {"a: b\n\ttrue\n", "Makefile:1: no rule to make 'b', needed by 'a'"},
        {"all: a\na: b\n\ttrue\nb: c\n\ttrue\nc: a\n\ttrue\n", "a cycle: a <- b <- c <- a"},
        {"\n\nwhat is this\n", "Makefile:3: expected a rule"},
        {"x:\n\techo $(y\n", "unterminated reference"},
        {"ifeq (a,b)\nx:\n", "Makefile:1: a conditional without endif"},
        {"define X\nfoo\n", "Makefile:1: define without endef"},
        {"include none.mk\n", "Makefile:1: none.mk: there is no such file"},
        {"A = $(A) b\nx: ; echo $(A)\n$(info $(A))\n", "refers to itself without end"},
        {"$(error stop here)\n", "Makefile:1: stop here"},
        {".SECONDEXPANSION:\nx: $$(y)\n", "Makefile:1: .SECONDEXPANSION isn't supported"},
        {"lib.a(x.o): x\n", "members of archives aren't supported"},
        {"x: ; $(guile 1)\n$(guile 1):\n", "$(guile ...) isn't supported"},
        {"a: private X = 1\n", "private isn't supported"},
        {"a b: %.o: %.c\n", "doesn't match the pattern"},
        {"a:: ; true\na: ; true\nall: a\n", "has both : and :: rules"},
        {"\techo too early\n", "Makefile:1: a recipe line before any rule"},
        {"", "no targets"},
        {"x: $(word 0,a)\n", "words are counted from 1"},
    };
    for (auto& c : cases)
        EXPECT_NE(r.error(c.text).find(c.error), std::string::npos) << c.text << "-> " << r.error(c.text);
}

TEST(Make, ErrorsInRecipesAreSaidBeforeTheyRun) {
    Reader r;
    EXPECT_NE(
        r.error("x: BARROW_CPUS = many\nx:\n\ttrue\n").find("Makefile:2: BARROW_CPUS: expected a number"),
        std::string::npos);
    EXPECT_NE(r.error("x: BARROW_RANK = first\nx:\n\ttrue\n").find("expected production"), std::string::npos);
}

TEST(Make, ResourcesComeFromTargetsVariables) {
    Reader r;
    r.read(
        "BARROW_CLASS = manuals\nx: BARROW_CPUS = 3\nx: BARROW_MEM_GB := 1.5\nx: BARROW_RETRIES = 2\nx: "
        "BARROW_RANK = "
        "low\nx: y\n\ttrue\ny:\n\ttrue\n");
    auto w = r.work("x");
    EXPECT_EQ(w.need.cpus, 3);
    EXPECT_EQ(w.need.mem_gb, 1.5);
    EXPECT_TRUE(w.limit_memory);
    EXPECT_EQ(w.retries, 2u);
    EXPECT_EQ(w.rank, wire::Priority::low);
    EXPECT_EQ(w.job_class, "manuals");
    // A target's variables hold for what it needs, as in Make.
    EXPECT_EQ(r.work("y").need.cpus, 3);
}

TEST(Make, RecipesExpandWithAutomaticVariables) {
    Reader r;
    r.dir.write("src/a.x", "");
    r.read(
        "all: out/a.y\nout/%.y: src/%.x | dir\n\t@cp $< $@ # $* $(@D) $(@F) $|\n\t-echo "
        "$$HOME\ndir:\n\tmkdir dir\n");
    EXPECT_EQ(r.steps("out/a.y"), (Reader::Names{"cp src/a.x out/a.y # a out a.y dir", "echo $HOME"}));
    auto w = r.work("out/a.y");
    EXPECT_FALSE(w.steps[0].echo);
    EXPECT_TRUE(w.steps[1].ignore);
    EXPECT_EQ(r.needs("out/a.y"), (Reader::Names{"src/a.x", "|dir"}));
    EXPECT_TRUE(w.in_private);
}

TEST(Make, ImplicitRulesChainAndWhatIsOnTheWayIsPassing) {
    Reader r;
    r.dir.write("a.raw", "");
    r.read("a.out:\n%.out: %.mid\n\tcat $< > $@\n%.mid: %.raw\n\tcat $< > $@\n");
    EXPECT_EQ(r.needs("a.out"), Reader::Names{"a.mid"});
    EXPECT_TRUE(r.m->graph().nodes[r.node("a.mid")].passing);
    EXPECT_FALSE(r.m->graph().nodes[r.node("a.out")].passing);
}

TEST(Make, TheShorterStemWinsAndAFileThatExistsIsNoTarget) {
    Reader r;
    r.dir.write("lib/x.src", "");
    r.dir.write("plain", "");
    r.read("all: lib/x.o plain\n%.o: %.src\n\techo any\nlib/%.o: lib/%.src\n\techo lib\n");
    EXPECT_EQ(r.steps("lib/x.o"), Reader::Names{"echo lib"});
    EXPECT_FALSE(r.m->graph().nodes[r.node("plain")].has_work);
}

TEST(Make, MakesOwnRulesThatAreNotThereAreNotPassedOver) {
    Reader r;
    r.dir.write("scan.l", "");
    r.dir.write("scan.c", "");
    EXPECT_NE(r.error("all: scan.c\n").find("by a built-in rule that isn't supported"), std::string::npos);
    EXPECT_EQ(r.error("MAKEFLAGS += -r\nall: scan.c\n"), "");
    EXPECT_EQ(r.error(".SUFFIXES:\nall: scan.c\n"), "");
}

TEST(Make, IncludedFilesThatRulesMakeAreRefused) {
    Reader r;
    r.dir.write("x.c", "");
    EXPECT_NE(r.error("-include x.d\nall: x.c\n%.d: %.c\n\ttouch $@\n")
                  .find("would be made by a rule before it is included"),
              std::string::npos);
    EXPECT_EQ(r.error("-include nothing.d\nall: x.c\n"), "");
}

TEST(Make, OfTwoRecipesForOneFileTheLastHoldsAndThatIsSaid) {
    Reader r;
    r.read("x:\n\techo 1\nx:\n\techo 2\n");
    EXPECT_EQ(r.steps("x"), Reader::Names{"echo 2"});
    ASSERT_EQ(r.m->graph().warnings.size(), 1u);
    EXPECT_NE(r.m->graph().warnings[0].find(
                  "Makefile:3: the recipe for 'x' takes the place of the one at Makefile:1"),
              std::string::npos);
}

TEST(Make, VariablesOfTheCommandLineGoFirstAndAreExported) {
    Reader r;
    r.read("A = file\noverride B = own\nC = file\nexport C\nx:\n\techo $(A) $(B)\n", {},
           {"A=given", "B=given"});
    EXPECT_EQ(r.steps("x"), Reader::Names{"echo given own"});
    auto env = r.work("x").env;
    EXPECT_EQ(env.at("A"), "given");
    EXPECT_EQ(env.at("C"), "file");
}

TEST(Make, EvalInALoopMakesRules) {
    Reader r;
    r.read(
        "define rule\n$(1): $(2)\n\techo $$@ from $(2)\nendef\nall: p q\n$(eval $(call rule,p,q))\n$(eval "
        "$(call rule,q,))\n");
    EXPECT_EQ(r.steps("p"), Reader::Names{"echo p from q"});
    EXPECT_EQ(r.needs("p"), Reader::Names{"q"});
}

TEST(Make, AFunctionsArgumentsAreNotWhatItsCallersHad) {
    Reader r;
    r.read("inner = <$(1)$(2)>\nouter = $(call inner,$(1))\n$(info $(call outer,a,b))\nx:\n");
    EXPECT_EQ(r.said, Reader::Names{"<a>"});
}

// Whatever a Makefile says, reading it ends with a graph or with one line.
TEST(Make, BrokenTextNeverDoesWorse) {
    const std::string seed =
        "A := $(subst a,b,$(wildcard *))\ndefine D\nx\nendef\nifdef A\nall: x$(A) | y\n\t@echo $@ "
        "$(D)\nelse\nz:: ; q\nendif\n%.o: "
        "%.c\n\tcc \\\n\t-o $@\n-include m\nv: B ?= 1\nexport A\n";
    std::uint64_t state = 42;
    auto random = [&](std::uint64_t n) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33) % n;
    };
    Reader r;
    for (int i = 0; i < 3000; ++i) {
        auto text = seed;
        for (auto k = 1 + random(6); k > 0; --k) {
            auto at = random(text.size());
            switch (random(4)) {
                case 0:
                    text.erase(at, 1 + random(8));
                    break;
                case 1:
                    text.insert(at, 1, "$(){}:=\n\t#\\%,;|&@"[random(18)]);
                    break;
                case 2:
                    text[at] = static_cast<char>(random(256));
                    break;
                default:
                    text.insert(at, text.substr(random(text.size()), random(20)));
                    break;
            }
        }
        // No commands are run here.
        for (auto at = text.find("shell"); at != std::string::npos; at = text.find("shell"))
            text.erase(at, 5);
        for (auto at = text.find("!="); at != std::string::npos; at = text.find("!=")) text.erase(at, 1);
        auto why = r.error(text);
        EXPECT_EQ(why.find('\n') == std::string::npos || why.size() > 200, true) << text;
    }
}
