package opalcove.laboratory.soak;

/** The zone and cell of a backend. */
record SoakBackendLocation(String zone, int cell) {}
