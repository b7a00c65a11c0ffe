// Package forecast estimates how much memory running streams of unknown length will
// need. It learns the survival function of output lengths, and combines these functions
// into the peak of the memory that all streams of one target hold together.
package forecast
