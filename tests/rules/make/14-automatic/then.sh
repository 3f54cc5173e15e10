touch in/b.x
