touch common
