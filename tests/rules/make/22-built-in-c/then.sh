touch greet.h
