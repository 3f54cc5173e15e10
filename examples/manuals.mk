# The nightly rebuild of every manual: each language of each manual is checked and set on its own, then bound.
#   barrowctl make -f manuals.mk [-k] [LANGS="en si"]
MANUALS := press loom
LANGS   := en si ta
PAGES   := $(foreach m,$(MANUALS),$(LANGS:%=build/$m.%.page))

.PHONY: all
all: manuals/index.txt

manuals/index.txt: $(MANUALS:%=manuals/%.txt) | manuals
	@for m in $^; do printf '%s %s\n' "$$(wc -l < $$m)" "$$m"; done > $@

# A manual is all its languages; one that fails to be set leaves the old manual as it is.
define manual
manuals/$(1).txt: $(LANGS:%=build/$(1).%.page) | manuals
	@cat $$^ > $$@
endef
$(foreach m,$(MANUALS),$(eval $(call manual,$m)))

$(PAGES): BARROW_CLASS = rebuild
$(PAGES): BARROW_RETRIES = 1
build/%.page: sources/safety.txt | build
	@printf '%s\n' "manual $*" "set by $$BARROW_JOB" | sed 's/ by .*/ here/' > $@
	@sleep 0.3; cat $< >> $@

manuals build:
	@mkdir -p $@
