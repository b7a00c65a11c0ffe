// Package rerun decides how one caller's stream continues: which frames are delivered, when a
// lost connection is resumed, when the generation is rerun on another target and when the
// stream ends. The output of a rerun is withheld until it has reproduced the delivered
// tokens exactly, so that the caller never receives tokens of two different texts.
package rerun
