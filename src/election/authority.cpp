#include "election/authority.hpp"
// The classes are small enough to live in the header; this file keeps them compiled on their own.
