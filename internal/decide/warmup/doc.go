// Package warmup limits how many streams one incarnation of a target may run at once. The
// limit starts at the declared cold floor, and grows only as streams complete within the
// bounds of the target's kind.
package warmup
