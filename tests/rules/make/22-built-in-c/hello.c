#include "greet.h"
int main(void){greet();return 0;}
