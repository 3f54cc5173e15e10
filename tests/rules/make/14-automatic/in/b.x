b
