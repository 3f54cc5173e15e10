echo bb > b.txt
