// Package warmup decides how many streams one incarnation of a target may run at once.
// The limit starts at the declared cold floor and grows only on evidence.
package warmup
