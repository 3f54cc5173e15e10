echo another > entry
