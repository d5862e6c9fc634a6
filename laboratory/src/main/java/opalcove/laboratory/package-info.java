/** The laboratory: stand-ins, load and measurement. Nothing of it is in the program that the platform starts. */
package opalcove.laboratory;
