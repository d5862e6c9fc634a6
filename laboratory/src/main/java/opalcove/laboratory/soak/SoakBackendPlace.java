package opalcove.laboratory.soak;

/** The zone and cell of a backend. */
record SoakBackendPlace(String zone, int cell) {}
