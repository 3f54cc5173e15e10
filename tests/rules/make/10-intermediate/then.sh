touch one.raw
