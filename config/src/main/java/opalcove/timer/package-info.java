/** Timers that several modules use. */
package opalcove.timer;
