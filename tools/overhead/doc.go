// Command overhead measures what an entry host adds to streams: the same load goes
// straight to stand-ins of engines and through one entry host, in turns, and both results
// are written side by side with the processor time of the host.
package main
