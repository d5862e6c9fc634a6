/**
 * The recovery of a gateway after a start, perhaps of the whole fleet after a loss of power: decisions alone, without
 * I/O and without a clock. Depends on the JDK alone.
 */
package opalcove.recovery;
