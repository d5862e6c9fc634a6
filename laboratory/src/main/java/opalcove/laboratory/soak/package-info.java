/**
 * A randomized fault soak: real gateway and backend processes on loopback, a fault proxy on every connection between them,
 * signals, and a library that fails system calls, while troubles drawn from a seed overlap in time. The rules are judged from
 * what clients, backends' connections and discovery saw, independently of the gateway's own checks.
 */
package opalcove.laboratory.soak;
