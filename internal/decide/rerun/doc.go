// Package rerun decides how one caller's stream goes on: which frames are delivered, when
// a lost connection is resumed, when the generation is rerun elsewhere and when the
// stream ends. A rerun is held back until it has reproduced the delivered tokens exactly,
// so the caller never sees tokens of two different texts.
package rerun
