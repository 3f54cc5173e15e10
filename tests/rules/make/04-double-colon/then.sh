touch b
