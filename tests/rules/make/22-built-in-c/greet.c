#include <stdio.h>
#include "greet.h"
void greet(void){puts("hello");}
