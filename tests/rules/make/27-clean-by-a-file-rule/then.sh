rm -f none; echo clean > goals.txt
