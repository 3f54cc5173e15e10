echo "value # other note" > input
