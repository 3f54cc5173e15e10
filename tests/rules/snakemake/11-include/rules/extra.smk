rule extra:
    output: "{n}.extra"
    shell: "echo {rule} > {output}"
