m.b
