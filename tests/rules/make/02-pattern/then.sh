echo x >> src/si.md
