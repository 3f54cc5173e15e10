#define PY_SSIZE_T_CLEAN
#include "workflow/snakemake/snakefile.hpp"

#include <Python.h>
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <filesystem>

#include "workflow/snakemake/prelude.hpp"

namespace barrowrun::workflow::snakemake {
namespace {

using nlohmann::json;

// ---- YAML, for configuration files ---------------------------------------------------------------------

json scalar(const YAML::Node& n) {
    const auto& text = n.Scalar();
    if (n.Tag() == "!") return text;  // quoted
    if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") return nullptr;
    bool b;
    if (YAML::convert<bool>::decode(n, b)) return b;
    std::int64_t i;
    if (text.find_first_not_of("+-0123456789") == std::string::npos &&
        YAML::convert<std::int64_t>::decode(n, i))
        return i;
    double d;
    if (YAML::convert<double>::decode(n, d) && std::isfinite(d)) return d;
    return text;
}

json to_json(const YAML::Node& n, int depth = 0) {
    if (depth > 100) throw std::runtime_error("nested deeper than 100");
    switch (n.Type()) {
        case YAML::NodeType::Scalar:
            return scalar(n);
        case YAML::NodeType::Sequence: {
            json out = json::array();
            for (auto& v : n) out.push_back(to_json(v, depth + 1));
            return out;
        }
        case YAML::NodeType::Map: {
            json out = json::object();
            for (auto& kv : n) out[kv.first.Scalar()] = to_json(kv.second, depth + 1);
            return out;
        }
        default:
            return nullptr;
    }
}

template <class F>
PyObject* yaml_call(PyObject* args, F load) {
    const char* text = nullptr;
    if (!PyArg_ParseTuple(args, "s", &text)) return nullptr;
    try {
        return PyUnicode_FromString(to_json(load(text)).dump().c_str());
    } catch (const YAML::BadFile&) {
        PyErr_Format(PyExc_FileNotFoundError, "%s: there is no such file", text);
    } catch (const YAML::Exception& e) {
        PyErr_Format(PyExc_ValueError, "%s:%d: %s", text, e.mark.line + 1, e.msg.c_str());
    } catch (const std::exception& e) {
        PyErr_Format(PyExc_ValueError, "%s: %s", text, e.what());
    }
    return nullptr;
}

PyObject* yaml_file(PyObject*, PyObject* args) {
    return yaml_call(args, [](const char* path) { return YAML::LoadFile(path); });
}
PyObject* yaml_text(PyObject*, PyObject* args) {
    return yaml_call(args, [](const char* text) { return YAML::Load(text); });
}

PyMethodDef methods[] = {{"yaml", yaml_file, METH_VARARGS, "A YAML or JSON file, as JSON."},
                         {"yaml_text", yaml_text, METH_VARARGS, "A YAML text, as JSON."},
                         {nullptr, nullptr, 0, nullptr}};
PyModuleDef module_def = {
    PyModuleDef_HEAD_INIT, "barrowrun_reader", nullptr, -1, methods, nullptr, nullptr, nullptr, nullptr};
PyObject* make_module() {
    return PyModule_Create(&module_def);
}

struct Owned {
    PyObject* p;
    explicit Owned(PyObject* o) : p(o) {
        if (p) return;
        PyObject *type, *value, *trace;
        PyErr_Fetch(&type, &value, &trace);
        PyObject* text = value ? PyObject_Str(value) : nullptr;
        const char* c = text ? PyUnicode_AsUTF8(text) : nullptr;
        std::string why = c ? c : "the interpreter failed";
        Py_XDECREF(text), Py_XDECREF(type), Py_XDECREF(value), Py_XDECREF(trace);
        throw RuleError(why);
    }
    Owned(const Owned&) = delete;
    Owned& operator=(const Owned&) = delete;
    ~Owned() { Py_XDECREF(p); }
};

// One interpreter for the whole process: it can't be started again after its end with all that it has loaded.
void start_interpreter() {
    if (Py_IsInitialized()) return;
    PyImport_AppendInittab("barrowrun_reader", make_module);
    PyConfig config;
    // Neither the user's site packages nor variables of the environment change what a rule file means.
    PyConfig_InitIsolatedConfig(&config);
    config.install_signal_handlers = 0;
    config.write_bytecode = 0;
    auto status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        throw RuleError(std::string("no Python: ") + (status.err_msg ? status.err_msg : ""));
}

std::string ask(const std::string& request) {
    start_interpreter();
    Owned code(Py_CompileString(prelude, "<prelude>", Py_file_input));
    Owned module(PyModule_New("barrowrun_prelude"));
    PyObject* names = PyModule_GetDict(module.p);
    PyDict_SetItemString(names, "__builtins__", PyEval_GetBuiltins());
    Owned reader(PyImport_ImportModule("barrowrun_reader"));
    PyDict_SetItemString(names, "barrowrun_reader", reader.p);
    Owned ran(PyEval_EvalCode(code.p, names, names));
    PyObject* function = PyDict_GetItemString(names, "read_safely");
    Owned argument(
        PyUnicode_DecodeUTF8(request.data(), static_cast<Py_ssize_t>(request.size()), "surrogateescape"));
    Owned answer(PyObject_CallFunctionObjArgs(function, argument.p, nullptr));
    Owned encoded(PyUnicode_AsEncodedString(answer.p, "utf-8", "surrogateescape"));
    return std::string(PyBytes_AsString(encoded.p), static_cast<std::size_t>(PyBytes_Size(encoded.p)));
}

double amount(const json& resources, const char* name, double otherwise, const Place& at) {
    auto it = resources.find(name);
    if (it == resources.end()) return otherwise;
    if (!it->is_number() || it->get<double>() < 0)
        throw RuleError(at, std::string("resources: ") + name + ": expected a number");
    return it->get<double>();
}

}  // namespace

NodeId Snakefile::source(const std::string& file) {
    if (auto it = graph_.by_output.find(file); it != graph_.by_output.end()) return it->second;
    Node n;
    n.name = file;
    n.outputs = {file};
    auto id = static_cast<NodeId>(graph_.nodes.size());
    graph_.by_output[file] = id;
    graph_.nodes.push_back(std::move(n));
    works_.emplace_back();
    return id;
}

Snakefile::Snakefile(const SnakeOptions& options) {
    std::string file = options.file;
    if (file.empty()) {
        for (auto* name : {"Snakefile", "workflow/Snakefile"})
            if (file.empty() && std::filesystem::exists(std::filesystem::path(options.dir) / name))
                file = name;
        if (file.empty()) throw RuleError("no Snakefile in " + options.dir + " (and none named by -s)");
    }
    json request{
        {"dir", options.dir}, {"file", file}, {"targets", options.targets}, {"config", options.config}};
    auto answer = ask(request.dump(-1, ' ', false, json::error_handler_t::replace));
    if (answer.empty() || answer[0] != '+') throw RuleError(answer.empty() ? "no answer" : answer.substr(1));
    auto read = json::parse(answer.substr(1));
    for (auto& j : read.at("jobs")) {
        Node n;
        n.rule = j.at("rule");
        n.place = {j.at("file"), j.at("line")};
        n.outputs = j.at("outputs").get<std::vector<std::string>>();
        n.name = n.outputs.empty() ? j.at("name").get<std::string>() : n.outputs.front();
        n.phony = n.outputs.empty();
        n.passing = n.remove_early = j.at("temp");
        if (!j.at("some_temp").empty() && !n.passing)
            throw RuleError(n.place, "rule " + n.rule + ": either all outputs are temp() or none");
        n.priority = j.at("priority");
        Work w;
        w.shell = {"/bin/bash", "-c"};
        if (j.at("command").is_string()) {
            n.has_work = true;
            w.steps.push_back({"set -euo pipefail; " + j.at("command").get<std::string>(), false, false});
        }
        w.touch = j.at("touch").get<std::vector<std::string>>();
        n.has_work |= !w.touch.empty();
        if (!n.has_work && !n.outputs.empty())
            throw RuleError(n.place, "rule " + n.rule + " has outputs and nothing that makes them");
        w.directories = j.at("directories").get<std::vector<std::string>>();
        w.protect = j.at("protect").get<std::vector<std::string>>();
        w.logs = j.at("logs").get<std::vector<std::string>>();
        w.in_private = !n.outputs.empty();
        w.must_produce = w.fresh_outputs = true;
        const auto& r = j.at("resources");
        w.need.cpus = j.at("threads");
        w.need.gpus =
            amount(r, "gpus", amount(r, "gpu", amount(r, "nvidia_gpu", 0, n.place), n.place), n.place);
        w.limit_memory = r.contains("mem_mb") || r.contains("mem_gb");
        w.need.mem_gb = amount(r, "mem_gb", amount(r, "mem_mb", 256, n.place) / 1024, n.place);
        w.estimate_s = amount(r, "runtime", 1.0 / 6, n.place) * 60;
        if (r.contains("barrow_class")) w.job_class = r["barrow_class"].get<std::string>();
        if (r.contains("barrow_rank")) {
            auto rank = r["barrow_rank"].is_string() ? wire::priority_of(r["barrow_rank"].get<std::string>())
                                                     : std::nullopt;
            if (!rank)
                throw RuleError(n.place,
                                "resources: barrow_rank: expected production, urgent, normal or low");
            w.rank = *rank;
        }
        if (!j.at("retries").is_number_unsigned() || j.at("retries") > wire::max_retries)
            throw RuleError(n.place,
                            "retries: expected a number from 0 to " + std::to_string(wire::max_retries));
        w.retries = j.at("retries");
        auto id = static_cast<NodeId>(graph_.nodes.size());
        for (auto& o : n.outputs) graph_.by_output[o] = id;
        graph_.nodes.push_back(std::move(n));
        works_.push_back(std::move(w));
    }
    // The jobs come first, in their numbers; files that nobody makes after them.
    NodeId id = 0;
    for (auto& j : read.at("jobs")) {
        std::vector<Need> needs;
        for (auto& need : j.at("needs")) {
            auto name = need.at(0).get<std::string>();
            works_[id].inputs.push_back(name);
            auto from = need.at(1).is_null() ? source(name) : need.at(1).get<NodeId>();
            needs.push_back({from, need.at(2).get<bool>()});
        }
        graph_.nodes[id++].needs = std::move(needs);
    }
    graph_.goals = read.at("goals").get<std::vector<NodeId>>();
    graph_.check_acyclic();
}

Work Snakefile::work(NodeId node, const std::vector<NodeId>&) {
    return works_[node];
}

}  // namespace barrowrun::workflow::snakemake
