# Runs in the reader's embedded interpreter. Turns a Snakefile into Python, line by line in its place, runs it, and
# works out which jobs make the targets. What comes out is JSON for the graph; nothing is run here.
import inspect, io, itertools, json, os, re, shlex, string, sys, tokenize, traceback


class SnakeError(Exception):
    """One line that begins with file:line."""


def fail(place, why):
    raise SnakeError("%s:%d: %s" % (place[0], place[1], why) if place else why)


# ---- names with a mark -----------------------------------------------------------------------------------------
class Name(str):
    flags = frozenset()


def marked(value, flag):
    if isinstance(value, (list, tuple, set)) and not isinstance(value, str):
        return [marked(v, flag) for v in value]
    if callable(value):
        return lambda *a, **k: marked(value(*a, **k), flag)
    out = Name(value)
    out.flags = frozenset(getattr(value, "flags", ())) | {flag}
    return out


def temp(v): return marked(v, "temp")
def protected(v): return marked(v, "protected")
def directory(v): return marked(v, "directory")
def touch(v): return marked(v, "touch")
def ancient(v): return marked(v, "ancient")


class Unpack:
    def __init__(self, value): self.value = value


def unpack(value): return Unpack(value)


def like(text, value):
    out = Name(text)
    out.flags = getattr(value, "flags", frozenset())
    return out


FIELD = re.compile(r"\{\s*([A-Za-z_]\w*)(?:\s*,\s*((?:[^{}]|\{[^{}]*\})*))?\s*\}")


def as_list(value):
    if value is None: return []
    if isinstance(value, (str, bytes)) or not hasattr(value, "__iter__"): return [value]
    return list(value)


def expand(patterns, *args, **wildcards):
    allow_missing = wildcards.pop("allow_missing", False)
    combine = args[0] if args else itertools.product
    pools = [[(k, v) for v in as_list(vs)] for k, vs in wildcards.items()]
    out = []
    for pattern in as_list(patterns):
        names = {m.group(1) for m in FIELD.finditer(str(pattern))}
        missing = names - set(wildcards)
        if missing and not allow_missing:
            raise ValueError("expand(%r): no values for %s" % (str(pattern), ", ".join(sorted(missing))))
        for values in combine(*pools):
            have = dict(values)
            out.append(like(FIELD.sub(lambda m: str(have.get(m.group(1), m.group(0))), str(pattern)), pattern))
    return out


def multiext(prefix, *extensions):
    return [like(str(prefix) + e, prefix) for e in extensions]


def to_regex(pattern, constraints, groups=True):
    out, at, seen = "", 0, set()
    for m in FIELD.finditer(pattern):
        out += re.escape(pattern[at:m.start()])
        name = m.group(1)
        if name in seen: out += "(?P=%s)" % name
        else: out += "(?P<%s>%s)" % (name, m.group(2) or constraints.get(name) or ".+")
        seen.add(name)
        at = m.end()
    return re.compile(out + re.escape(pattern[at:]) + r"\Z", re.S)


class Wildcards:
    def __init__(self, values): self.__dict__.update(values)
    def __getitem__(self, k): return self.__dict__[k]
    def get(self, k, d=None): return self.__dict__.get(k, d)
    def keys(self): return self.__dict__.keys()
    def items(self): return self.__dict__.items()
    def __iter__(self): return iter(self.__dict__.values())
    def __str__(self): return " ".join(self.__dict__.values())


def glob_wildcards(pattern):
    regex, names, found = to_regex(pattern, {}), [], []
    for m in FIELD.finditer(pattern):
        if m.group(1) not in names: names.append(m.group(1))
    base = FIELD.split(pattern)[0]
    base = os.path.dirname(base) or "."
    for here, dirs, files in os.walk(base, followlinks=True):
        dirs[:] = sorted(d for d in dirs if d != ".barrowrun")
        for f in sorted(files):
            path = os.path.normpath(os.path.join(here, f))
            m = regex.match(path) or regex.match("./" + path)
            if m: found.append(m.groupdict())
    import collections
    return collections.namedtuple("Wildcards", names)(*[[f[n] for f in found] for n in names])


class Named(list):
    """A list some of whose items, or runs of items, have names."""

    def __init__(self, items=()):
        super().__init__()
        self._names = {}
        for name, value in items: self.add(name, value)

    def add(self, name, value):
        if isinstance(value, (list, tuple)):
            if name: self._names[name] = Named((None, v) for v in value)
            self.extend(value)
        else:
            if name: self._names[name] = value
            self.append(value)

    def __getattribute__(self, name):
        # A name of the user's goes before one that lists have, as `count`.
        if not name.startswith("_"):
            names = object.__getattribute__(self, "__dict__").get("_names", {})
            if name in names: return names[name]
        return super().__getattribute__(name)

    def __getattr__(self, name):
        raise AttributeError("there is no %r in %s" % (name, list(self._names) or "this list"))

    def get(self, name, otherwise=None): return self._names.get(name, otherwise)
    def keys(self): return self._names.keys()
    def items(self): return self._names.items()

    def __getitem__(self, k):
        return self._names[k] if isinstance(k, str) else super().__getitem__(k)

    def __str__(self): return " ".join(str(v) for v in self)


class ShellFormat(string.Formatter):
    def get_value(self, key, args, kwargs):
        try: return super().get_value(key, args, kwargs)
        except (KeyError, IndexError): raise NameError("'{%s}' is no name here (a brace is written twice)" % key) from None

    def format_field(self, value, spec):
        quote = spec.endswith("q")
        if quote: spec = spec[:-1]
        if isinstance(value, (list, tuple)) and not isinstance(value, str):
            return " ".join(shlex.quote(str(v)) if quote else str(v) for v in value)
        text = super().format_field(value, spec)
        return shlex.quote(text) if quote else text


# ---- rules -----------------------------------------------------------------------------------------------------
UNSUPPORTED = {"run", "script", "notebook", "wrapper", "cwl", "container", "containerized", "singularity", "conda",
               "envmodules", "shadow", "benchmark", "group", "cache", "handover", "template_engine", "pathvars"}
SUPPORTED = {"input", "output", "params", "log", "threads", "resources", "shell", "retries", "priority", "localrule",
             "message", "wildcard_constraints", "default_target", "name"}


class Rule:
    def __init__(self, book, name, place):
        self.book, self.name, self.place = book, name, place
        self.inputs, self.outputs, self.params_, self.logs, self.resources_ = [], [], [], [], {}
        self.command, self.threads_, self.retries_, self.priority_ = None, 1, 0, 0
        self.constraints, self.default = {}, False

    def __enter__(self): return self

    def __exit__(self, kind, value, trace):
        if kind: return False
        self.constraints = {**self.book.constraints, **self.constraints}
        names = None
        for _, o in self.outputs:
            if callable(o): fail(self.place, "rule %s: outputs can't be functions" % self.name)
            here = {m.group(1) for m in FIELD.finditer(o)}
            if names is not None and here != names:
                fail(self.place, "rule %s: all outputs must have the same wildcards" % self.name)
            names = here
        self.wildcards = names or set()
        for _, l in self.logs:
            if not callable(l) and {m.group(1) for m in FIELD.finditer(l)} != self.wildcards and self.outputs:
                fail(self.place, "rule %s: a log must have the wildcards of the outputs" % self.name)
        self.patterns = [to_regex(os.path.normpath(o), self.constraints) for _, o in self.outputs]
        self.book.add(self)

    @staticmethod
    def _items(args, kwargs):
        out = []
        for a in args:
            for v in (a if isinstance(a, (list, tuple)) else [a]): out.append((None, v))
        out.extend(kwargs.items())
        return out

    def input(self, *a, **k): self.inputs = self._items(a, k)

    def output(self, *a, **k):
        out = []
        for name, v in self._items(a, k):
            for x in (v if isinstance(v, (list, tuple)) else [v]): out.append((name, x))
        self.outputs = out

    def params(self, *a, **k): self.params_ = [(None, v) for v in a] + list(k.items())

    def log(self, *a, **k): self.logs = self._items(a, k)
    def threads(self, n): self.threads_ = n
    def resources(self, **k): self.resources_ = k
    def shell(self, *parts): self.command = "".join(parts)
    def retries(self, n): self.retries_ = n
    def priority(self, n): self.priority_ = n
    def localrule(self, on=True): pass
    def message(self, text): pass
    def default_target(self, on): self.default = on
    def wildcard_constraints(self, **k): self.constraints.update(k)
    def name_(self, n): self.name = n


class Job:
    def __init__(self, rule, values):
        self.rule, self.values = rule, values
        self.name = rule.name + (" (" + ", ".join("%s=%s" % kv for kv in sorted(values.items())) + ")" if values else "")


def call(function, place, *args, **extra):
    """Calls a function of the Snakefile with those of the extra arguments that it has names for."""
    parameters = inspect.signature(function).parameters
    if not any(p.kind == p.VAR_KEYWORD for p in parameters.values()):
        extra = {k: v for k, v in extra.items() if k in parameters}
    return function(*args, **extra)


class Book:
    def __init__(self, root):
        self.rules, self.order, self.constraints = {}, [], {}
        self.by_output, self.jobs, self.sources = {}, {}, {}
        self.first = None
        self.files = []
        self.globals = {
            "expand": expand, "multiext": multiext, "temp": temp, "temporary": temp, "protected": protected,
            "directory": directory, "touch": touch, "ancient": ancient, "unpack": unpack,
            "glob_wildcards": glob_wildcards, "config": {}, "workflow": self, "_snake": self, "os": os,
            "__name__": "Snakefile", "shell": self._no_shell, "rules": self.rules_view(),
            "checkpoints": None, "Path": __import__("pathlib").Path,
        }

    def rules_view(self):
        book = self
        class View:
            def __getattr__(self, name):
                rule = book.rules.get(name)
                if rule is None: raise AttributeError("there is no rule %r (yet)" % name)
                class R: pass
                r = R()
                r.input = Named((n, v) for n, v in rule.inputs)
                r.output = Named((n, v) for n, v in rule.outputs)
                r.params = Named((n, v) for n, v in rule.params_)
                return r
        return View()

    @staticmethod
    def _no_shell(*a, **k): raise RuntimeError("shell() outside of a rule isn't supported")

    def rule(self, name, line):
        place = (self.files[-1], line)
        if name is None: name = "rule at line %d" % line
        if name in self.rules: fail(place, "a second rule %s; the first is at %s:%d" % ((name,) + self.rules[name].place))
        return Rule(self, name, place)

    def add(self, rule):
        self.rules[rule.name] = rule
        if self.first is None or rule.default and not self.first.default: self.first = rule

    def ruleorder(self, names): self.order.append(names)
    def localrules(self, *names): pass
    def wildcard_constraints_(self, **k): self.constraints.update(k)

    def configfile(self, path):
        loaded = json.loads(barrowrun_reader.yaml(path))
        if not isinstance(loaded, dict): raise ValueError("%s: expected names and values" % path)
        merge(self.globals["config"], loaded, self.given)

    def include(self, path):
        if not os.path.isabs(path): path = os.path.join(os.path.dirname(self.files[-1]), path)
        self.load(os.path.normpath(path))

    def load(self, path):
        if self.files.count(path) or len(self.files) > 50: fail((path, 1), "it includes itself")
        try:
            with open(path, encoding="utf-8") as f: text = f.read()
        except (OSError, UnicodeDecodeError) as e:
            fail((path, 0), getattr(e, "strerror", None) or "not UTF-8")
        code = translate(text, path)
        self.files.append(path)
        try:
            exec(compile(code, path, "exec"), self.globals)
        except SnakeError: raise
        except SyntaxError as e: fail((path, e.lineno or 0), "%s" % e.msg)
        except Exception as e: raise SnakeError(located(e, (path, 0))) from None
        self.files.pop()

    # ---- which jobs ----
    def preferred(self, a, b):
        for names in self.order:
            if a.name in names and b.name in names: return names.index(a.name) < names.index(b.name)
        return None

    def produce(self, path, user, way):
        """The job that makes the file, or None for one that is there and that no rule makes."""
        path = os.path.normpath(path)
        if path in self.by_output: return self.by_output[path]
        if path in self.sources: return None
        candidates, why = [], []
        for rule in self.rules.values():
            for pattern in rule.patterns:
                m = pattern.match(path)
                if m is None: continue
                values = m.groupdict()
                key = (rule.name, tuple(sorted(values.items())))
                if key in way:
                    why.append(fail_text(rule.place, "a cycle: " + " <- ".join([job_text(k) for k in way[way.index(key):]] + [job_text(key)])))
                    continue
                try: candidates.append(self.job(rule, values, way))
                except Missing as e: why.append(str(e))
                break
        best = []
        for c in candidates:
            if not any(self.preferred(o.rule, c.rule) for o in candidates if o is not c): best.append(c)
        if len(best) > 1:
            # Rules that can make it and that no ruleorder tells apart.
            fail(best[0].rule.place, "%s can be made by rule %s and by rule %s (%s:%d): a ruleorder must say which" % (
                (path, best[0].rule.name, best[1].rule.name) + best[1].rule.place))
        if best:
            self.by_output[path] = best[0]
            return best[0]
        if os.path.lexists(path):
            self.sources[path] = True
            return None
        if why: raise Missing(why[0])
        raise Missing((fail_text(user.rule.place, "no rule makes '%s', which %s needs, and there is no such file" % (path, user.name))
                       if user else "no rule makes '%s', and there is no such file" % path))

    def job(self, rule, values, way):
        key = (rule.name, tuple(sorted(values.items())))
        known = self.jobs.get(key)
        if known is not None: return known
        job = Job(rule, values)
        wildcards = Wildcards(values)
        def filled(text):
            return like(os.path.normpath(FIELD.sub(lambda m: values[m.group(1)] if m.group(1) in values
                                  else fail(rule.place, "rule %s: the wildcard {%s} is in no output" % (rule.name, m.group(1))), str(text))), text)
        try:
            job.inputs = Named()
            for name, value in rule.inputs:
                packed = isinstance(value, Unpack)
                if packed: value = value.value
                if callable(value): value = call(value, rule.place, wildcards)
                elif not packed:
                    value = [filled(v) for v in value] if isinstance(value, (list, tuple)) else filled(value)
                if packed and isinstance(value, dict):
                    for k, v in value.items(): job.inputs.add(k, [Name(os.path.normpath(str(x))) for x in v] if isinstance(v, (list, tuple)) else like(os.path.normpath(str(v)), v))
                elif isinstance(value, (list, tuple, set)):
                    job.inputs.add(name, [like(os.path.normpath(str(v)), v) for v in value])
                else:
                    job.inputs.add(name, like(os.path.normpath(str(value)), value))
        except SnakeError: raise
        except Exception as e: raise SnakeError(located(e, rule.place)) from None
        job.outputs = Named((n, filled(o)) for n, o in rule.outputs)
        job.needs = []
        inner = way + [key]
        for i in job.inputs: job.needs.append((i, self.produce(i, job, inner)))
        # Work out the rest only for jobs that can be: functions may rely on it.
        try:
            threads = rule.threads_
            if callable(threads): threads = call(threads, rule.place, wildcards, input=job.inputs, attempt=1)
            job.threads = int(threads)
            job.resources = {}
            for k, v in rule.resources_.items():
                if callable(v): v = call(v, rule.place, wildcards, input=job.inputs, threads=job.threads, attempt=1)
                job.resources[k] = v
            job.log = Named((n, filled(l)) for n, l in rule.logs)
            job.params = Named()
            for name, v in rule.params_:
                if callable(v):
                    v = call(v, rule.place, wildcards, input=job.inputs, output=job.outputs, threads=job.threads,
                             resources=Wildcards(job.resources))
                elif isinstance(v, str): v = FIELD.sub(lambda m: values.get(m.group(1), m.group(0)), v)
                if name: job.params._names[name] = v
                job.params.append(v)
            job.command = None
            if rule.command is not None:
                names = dict(self.globals)
                names.update(input=job.inputs, output=job.outputs, params=job.params, wildcards=wildcards,
                             threads=job.threads, resources=Wildcards(job.resources), log=job.log, rule=rule.name)
                job.command = ShellFormat().vformat(rule.command, (), names)
        except SnakeError: raise
        except Exception as e: raise SnakeError(located(e, rule.place)) from None
        for o in job.outputs:
            other = self.by_output.get(o)
            if other is not None and other is not job:
                better = self.preferred(rule, other.rule)
                if better is None:
                    fail(rule.place, "%s can be made by rule %s and by rule %s (%s:%d): a ruleorder must say which" % (
                        (o, rule.name, other.rule.name) + other.rule.place))
        self.jobs[key] = job
        return job

    def used(self, goals):
        order, seen, stack = [], set(), [(g, 0) for g in reversed(goals)]
        while stack:
            job, at = stack.pop()
            if at == 0:
                if id(job) in seen: continue
                seen.add(id(job))
            while at < len(job.needs) and (job.needs[at][1] is None or id(job.needs[at][1]) in seen): at += 1
            if at == len(job.needs): order.append(job)
            else:
                stack.append((job, at + 1))
                stack.append((job.needs[at][1], 0))
        return order


class Missing(Exception): pass


def job_text(key): return key[0] + (" (" + ", ".join("%s=%s" % kv for kv in key[1]) + ")" if key[1] else "")


def fail_text(place, why): return "%s:%d: %s" % (place[0], place[1], why)


def located(e, place):
    """The innermost place in a file of the user's."""
    own = [f for f in traceback.extract_tb(e.__traceback__) if f.filename != "<prelude>" and os.path.exists(f.filename)
           and "/lib/python" not in f.filename]
    at = (own[-1].filename, own[-1].lineno) if own else place
    return fail_text(at, "%s: %s" % (type(e).__name__, e))


def merge(into, new, over):
    for k, v in new.items():
        if isinstance(v, dict) and isinstance(into.get(k), dict): merge(into[k], v, {})
        elif k not in over: into[k] = v


# ---- translation -----------------------------------------------------------------------------------------------
def translate(text, path):
    """Python that does what the Snakefile says, every line where it was."""
    try: tokens = list(tokenize.generate_tokens(io.StringIO(text + ("" if text.endswith("\n") else "\n")).readline))
    except tokenize.TokenError as e: fail((path, e.args[1][0]), e.args[0])
    except IndentationError as e: fail((path, e.lineno), e.msg)
    lines = text.split("\n")
    logical, current = [], []   # logical lines: lists of tokens
    for t in tokens:
        if t.type in (tokenize.COMMENT, tokenize.NL, tokenize.INDENT, tokenize.DEDENT, tokenize.ENDMARKER): continue
        if t.type == tokenize.NEWLINE:
            if current: logical.append(current)
            current = []
        else: current.append(t)
    if current: logical.append(current)
    edits = []   # (line, column, characters to drop, text to put)

    def column(l): return l[0].start[1]
    def heads(l, *words): return l[0].type == tokenize.NAME and l[0].string in words
    def colon_at(l, i): return len(l) > i and l[i].string == ":"

    i = 0
    while i < len(logical):
        l = logical[i]
        place = (path, l[0].start[0])
        if heads(l, "rule", "checkpoint") and (colon_at(l, 1) or colon_at(l, 2)) and not (len(l) > 1 and l[1].string == "="):
            if l[0].string == "checkpoint": fail(place, "checkpoints aren't supported")
            named = not colon_at(l, 1)
            colon = l[2 if named else 1]
            start, end = l[0].start, colon.end
            if start[0] != end[0]: fail(place, "a rule's head stands on one line")
            edits.append((start[0], start[1], end[1] - start[1],
                          "with _snake.rule(%s, %d) as _rule:" % (repr(l[1].string) if named else "None", start[0])))
            body = []
            rest = l[3 if named else 2:]
            if rest: body.append(rest)
            j = i + 1
            while j < len(logical) and column(logical[j]) > column(l):
                body.append(logical[j])
                j += 1
            if not body: fail(place, "a rule without anything in it")
            translate_body(body, edits, path)
            i = j
            continue
        if heads(l, "include", "configfile", "localrules", "ruleorder", "wildcard_constraints") and colon_at(l, 1):
            word = l[0].string
            content = l[2:]
            j = i + 1
            while j < len(logical) and column(logical[j]) > column(l):
                content = content + logical[j]
                j += 1
            if not content: fail(place, "%s: nothing follows" % word)
            start, end = l[0].start, l[1].end
            last = content[-1].end
            if word in ("localrules", "ruleorder"):
                names = [t.string for t in content if t.type == tokenize.NAME]
                edits.append((start[0], start[1], end[1] - start[1],
                              "_snake.%s(%s)" % (word, repr(names) if word == "ruleorder" else ", ".join(map(repr, names)))))
                for t in content: edits.append((t.start[0], t.start[1], t.end[1] - t.start[1], ""))
            else:
                call_name = {"wildcard_constraints": "wildcard_constraints_"}.get(word, word)
                edits.append((start[0], start[1], end[1] - start[1], "_snake.%s(" % call_name))
                edits.append((last[0], last[1], 0, ")"))
            i = j
            continue
        if heads(l, "workdir", "onstart", "onsuccess", "onerror", "module", "use", "subworkflow", "envvars", "scattergather",
                 "report", "singularity", "container", "containerized", "pepfile", "pepschema", "storage", "resource_scopes",
                 "conda", "inputflags", "outputflags") and (colon_at(l, 1) or colon_at(l, 2) or heads(l, "use")) and \
                not (len(l) > 1 and l[1].string in ("=", ".", "(", "[")):
            fail(place, "%s isn't supported" % l[0].string)
        i += 1
    for line, col, drop, put in sorted(edits, reverse=True):
        s = lines[line - 1]
        lines[line - 1] = s[:col] + put + s[col + drop:]
    return "\n".join(lines) + "\n"


def translate_body(body, edits, path):
    level = body[0][0].start[1]
    i = 0
    while i < len(body):
        l = body[i]
        place = (path, l[0].start[0])
        if l[0].type == tokenize.STRING and len(l) == 1:   # what the rule is for
            i += 1
            continue
        if l[0].type != tokenize.NAME or len(l) < 2 or l[1].string != ":":
            fail(place, "expected a part of a rule, as `input:`, not '%s'" % l[0].string)
        word = l[0].string
        if word in UNSUPPORTED: fail(place, "%s: isn't supported" % word)
        if word not in SUPPORTED: fail(place, "a rule has no part '%s'" % word)
        content = l[2:]
        j = i + 1
        while j < len(body) and body[j][0].start[1] > level:
            content = content + body[j]
            j += 1
        if not content: fail(place, "%s: nothing follows" % word)
        start, end, last = l[0].start, l[1].end, content[-1].end
        edits.append((start[0], start[1], end[1] - start[1], "_rule.%s(" % {"name": "name_"}.get(word, word)))
        edits.append((last[0], last[1], 0, ")"))
        i = j


# ---- entry -----------------------------------------------------------------------------------------------------
def read(request):
    r = json.loads(request)
    os.chdir(r["dir"])
    sys.path.insert(0, r["dir"])
    sys.setrecursionlimit(60000)
    book = Book(r["dir"])
    book.given = {}
    for item in r["config"]:
        if "=" not in item: raise SnakeError("--config: expected KEY=VALUE, not '%s'" % item)
        k, v = item.split("=", 1)
        book.given[k] = json.loads(barrowrun_reader.yaml_text(v))
    book.globals["config"].update(book.given)
    book.load(r["file"])
    if not book.rules: raise SnakeError("%s:1: there are no rules" % r["file"])
    goals = []
    try:
        if not r["targets"]:
            if book.first.wildcards: fail(book.first.place, "the first rule, %s, has wildcards: name a target" % book.first.name)
            goals.append(book.job(book.first, {}, []))
        for t in r["targets"]:
            rule = book.rules.get(t)
            if rule is not None:
                if rule.wildcards: fail(rule.place, "rule %s has wildcards: name a file, not the rule" % t)
                goals.append(book.job(rule, {}, []))
            else:
                job = book.produce(t, None, [])
                if job is not None: goals.append(job)
    except Missing as e: raise SnakeError(str(e)) from None
    jobs = book.used(goals)
    number = {id(j): n for n, j in enumerate(jobs)}
    out = []
    for j in jobs:
        flags = lambda f: [o for o in j.outputs if f in getattr(o, "flags", ())]
        out.append({
            "rule": j.rule.name, "name": j.name, "file": j.rule.place[0], "line": j.rule.place[1],
            "outputs": list(j.outputs), "directories": flags("directory"), "touch": flags("touch"),
            "protect": flags("protected"), "temp": len(flags("temp")) == len(j.outputs) > 0,
            "some_temp": flags("temp"), "logs": list(j.log), "command": j.command, "threads": j.threads,
            "resources": {k: v for k, v in j.resources.items() if isinstance(v, (int, float, str))},
            "retries": j.rule.retries_, "priority": j.rule.priority_,
            "needs": [[f, None if n is None else number[id(n)], "ancient" in getattr(f, "flags", ())]
                      for f, n in j.needs]})
    return json.dumps({"jobs": out, "goals": sorted({number[id(g)] for g in goals})})


def read_safely(request):
    try: return "+" + read(request)
    except SnakeError as e: return "-" + str(e)
    except RecursionError: return "-the rules form a chain that is too long, or a cycle by way of wildcards"
    except Exception as e: return "-" + located(e, ("Snakefile", 0))
