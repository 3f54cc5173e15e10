touch out; touch a
