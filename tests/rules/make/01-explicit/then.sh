echo more >> notes
