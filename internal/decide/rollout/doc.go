// Package rollout decides how a pool's traffic moves from one version of its targets to another: how many
// requests each host may send to the new version, whether the new version is worse than the old one, and
// when the rollout is completed or rolled back. See docs/design/rollouts.md.
package rollout
