package opalcove.laboratory.soak;

/** Where a backend stands. */
record SoakBackendPlace(String zone, int cell) {}
