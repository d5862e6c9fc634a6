/**
 * The process around the core: its event loop, its phases from start to exit, its graceful shutdown at SIGTERM, and the
 * times of its start.
 */
package opalcove.lifecycle;
