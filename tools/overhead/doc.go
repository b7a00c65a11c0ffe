// Command overhead measures the latency that a host adds to streams. It sends the same load
// alternately directly to stand-in engines and through one host, and reports both
// results side by side with the processor time of the host.
package main
