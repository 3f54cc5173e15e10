touch whole
