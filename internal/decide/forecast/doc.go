// Package forecast estimates how much memory running streams of unknown length will
// need. It learns survival curves of output length and combines them into the peak of
// the memory that the streams of one target will hold together.
package forecast
