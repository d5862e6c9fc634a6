/** Timers that several modules share. */
package opalcove.timer;
