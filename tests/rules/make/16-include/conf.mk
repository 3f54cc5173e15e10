WORD = included
EXTRA = y
y: ; echo made in conf > y
