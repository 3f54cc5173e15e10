# The nightly reconciliation of sales against the customs ledger, one concession after another, then a report.
#   barrowctl snake -s reconcile.smk [--config threshold=2]
configfile: "reconcile.yaml"

CONCESSIONS, = glob_wildcards("sales/{concession}.csv")

rule all:
    input: "reconciled/report.txt"

rule ledger:
    input: "sales/{concession}.csv"
    output: temp("ledger/{concession}.sorted")
    shell: "sort {input} > {output}"

rule reconcile:
    input: "ledger/{concession}.sorted"
    output:
        missing="reconciled/{concession}.missing",
        total="reconciled/{concession}.total",
    log: "logs/{concession}.log"
    retries: 1
    resources: mem_mb=128
    shell:
        "awk -F, '$3 == 0' {input} > {output.missing}; "
        "awk -F, '{{ s += $2 }} END {{ print s }}' {input} > {output.total}; "
        "echo done > {log}"

rule report:
    input:
        missing=expand("reconciled/{c}.missing", c=CONCESSIONS),
        total=expand("reconciled/{c}.total", c=CONCESSIONS),
    output: "reconciled/report.txt"
    params: threshold=config["threshold"]
    shell:
        "for f in {input.total}; do echo $f $(cat $f); done > {output}; "
        "n=$(cat {input.missing} | wc -l); "
        "echo missing in the ledger: $n of at most {params.threshold} >> {output}; "
        "test $n -le {params.threshold}"
