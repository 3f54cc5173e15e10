c
