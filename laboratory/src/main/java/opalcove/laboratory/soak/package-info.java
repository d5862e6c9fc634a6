/**
 * A randomized fault soak: real gateway and backend processes on loopback, a fault proxy on every connection between
 * them, signals, and a library that makes system calls fail, while faults drawn from a seed overlap in time. The rules
 * are checked against what clients, fault proxies and discovery agents observed, independently of the gateway's own
 * checks.
 */
package opalcove.laboratory.soak;
