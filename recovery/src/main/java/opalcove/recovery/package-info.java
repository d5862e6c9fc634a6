/**
 * Decisions of a gateway's recovery after a start, either of this gateway alone or of the complete fleet after a loss of
 * power. Does no I/O and reads no clock. Depends only on the JDK.
 */
package opalcove.recovery;
