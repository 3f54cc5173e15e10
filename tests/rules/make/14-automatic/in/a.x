a
